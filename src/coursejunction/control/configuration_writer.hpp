/*! @file
 * @brief Writes the configuration by compare-and-swap, and reads it back where
 * the response to a write was lost.
 */
#ifndef COURSEJUNCTION_CONTROL_CONFIGURATION_WRITER_HPP
#define COURSEJUNCTION_CONTROL_CONFIGURATION_WRITER_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "coursejunction/core/result.hpp"
#include "coursejunction/resource/configuration.hpp"

namespace coursejunction
{

/*! @brief A value read from the key-value service. */
struct stored_value
{
    std::uint64_t index{0}; /*!< Index of its last change; 0 when absent. */
    std::string text;
    /*! @brief Index to pass to the next watch. For an absent key it is the
     * service's own index, since a watch of index 0 returns immediately. */
    std::uint64_t watch_index{0};
};

/*! @brief Result of one compare-and-swap, or of one acquire. */
enum class swap_outcome : std::uint8_t
{
    swapped,
    lost_race,  /*!< Another writer was first; nothing was written. */
    not_sent,   /*!< Not sent, or refused by a rate limit; nothing written. */
    no_session, /*!< The session has expired; nothing was written. */
    unknown     /*!< The response was lost; it may have been written. */
};

/*! @brief Result of a configuration write. */
struct write_result
{
    /*! @brief The configuration after the write, or why it was not accepted:
     * `unknown` when it may still take effect. */
    result<configuration> outcome;
    write_id id;
};

/*! @brief Asynchronous access to the one key that holds the configuration.
 * `retry_later` runs a task after a pause, `deadline_passed` ends retries. */
template <typename Store>
concept Configuration_store =
    requires(Store store, std::function<void(result<stored_value>)> read,
             std::function<void(swap_outcome)> swapped)
{
    store.read(read);
    store.compare_and_swap(std::uint64_t{}, std::string{}, swapped);
    store.retry_later(std::function<void()>{});
    {
        store.deadline_passed()
        } -> std::convertible_to<bool>;
};

/*! @brief One write of the configuration: reads, merges, swaps, and retries
 * until the result is certain or the store's deadline has passed. If a response
 * was lost and could not be read back by then, the result is `unknown`.
 * @tparam Store A `Configuration_store`; it must outlive the write. */
template <typename Store>
class configuration_writer
    : public std::enable_shared_from_this<configuration_writer<Store>>
{
public:
    using done_callback = std::function<void(write_result)>;

    /*! @brief Starts a write of one change.
     * @param id Identifies the write in the stored configuration; it makes
     * retries idempotent.
     * @param known Configuration that this process already acts on. Changes in
     * it that the store lacks are written too: the compare-and-swap fails if
     * the read was stale, and succeeds if the store was rolled back to an older
     * copy. */
    static void start(Store& store, configuration_change change, write_id id,
                      configuration known, done_callback done)
    {
        begin(store, std::move(change), std::move(id), std::move(known),
              std::move(done));
    }

    /*! @brief Starts to write back acknowledged changes that the store lacks
     * after a rollback. Writes nothing when the store has all of them. */
    static void restore(Store& store, configuration known, write_id id,
                        done_callback done)
    {
        begin(store, std::nullopt, std::move(id), std::move(known),
              std::move(done));
    }

private:
    static constexpr const char* unreachable_message =
        "the key-value service does not respond; nothing was changed";
    static constexpr const char* contention_message =
        "other writers changed the configuration before each attempt; "
        "nothing was changed";

    using optional_change = std::optional<configuration_change>;

    static void begin(Store& store, optional_change change, write_id id,
                      configuration known, done_callback done)
    {
        auto writer = std::shared_ptr<configuration_writer>(
            new configuration_writer(store, std::move(change), std::move(id),
                                     std::move(known), std::move(done)));
        writer->read();
    }

    configuration_writer(Store& target, optional_change wanted_change,
                         write_id own_id, configuration acknowledged,
                         done_callback callback)
        : store(target), change(std::move(wanted_change)),
          id(std::move(own_id)), known(std::move(acknowledged)),
          done(std::move(callback))
    {
    }

    void read()
    {
        store.read(
            [self = this->shared_from_this()](result<stored_value> response)
            { self->on_read(std::move(response)); });
    }

    void on_read(result<stored_value> response)
    {
        if (!response)
            return retry_or_fail(error_kind::unavailable, unreachable_message);
        auto stored = response.value().index == 0
                          ? result<configuration>(configuration())
                          : configuration::parse(response.value().text);
        if (!stored)
            return finish(failure(error_kind::refused,
                                  "cannot parse the stored configuration"));
        if (already_applied(stored.value()))
            return finish(std::move(stored.value()));
        auto next = make_next(stored.value());
        if (!next)
            return finish(failure(next.error().kind, next.error().message));
        compare_and_swap(response.value().index, std::move(next.value()));
    }

    [[nodiscard]] bool already_applied(const configuration& stored) const
    {
        return change ? stored.revision_of_write(id).has_value()
                      : stored.descends_from(known);
    }

    [[nodiscard]] result<configuration>
    make_next(const configuration& stored) const
    {
        auto merged = known.merge(stored, write_id("join-" + id.value()));
        if (!change)
            return merged;
        return merged.apply(*change, id);
    }

    void compare_and_swap(std::uint64_t index, configuration next)
    {
        const auto text = next.to_json();
        store.compare_and_swap(index, text,
                               [self = this->shared_from_this(),
                                next = std::move(next)](swap_outcome outcome)
                               { self->on_swap(outcome, next); });
    }

    void on_swap(swap_outcome outcome, const configuration& next)
    {
        switch (outcome)
        {
        case swap_outcome::swapped:
            return finish(next);
        case swap_outcome::lost_race:
            // Pauses first: each attempt transfers the whole configuration
            // over a link that all writers share, and more may be ahead.
            return retry_or_fail(error_kind::unavailable, contention_message);
        case swap_outcome::not_sent:
        case swap_outcome::no_session:
            return retry_or_fail(error_kind::unavailable, unreachable_message);
        case swap_outcome::unknown:
            // The write may have taken effect, or may do so later: read it
            // back. The write id makes a second attempt harmless.
            may_have_written = true;
            return retry_or_fail(error_kind::unknown, unreachable_message);
        }
    }

    /*! @brief Schedules another attempt, or ends the write once the deadline
     * has passed.
     * @param message Error message in that case, unless the outcome is
     * unknown. */
    void retry_or_fail(error_kind default_kind, const char* message)
    {
        if (!store.deadline_passed())
            return store.retry_later([self = this->shared_from_this()]
                                     { self->read(); });
        const auto kind = may_have_written ? error_kind::unknown : default_kind;
        finish(failure(kind, kind == error_kind::unknown
                                 ? "the change may or may not take effect"
                                 : message));
    }

    void finish(result<configuration> outcome)
    {
        const auto callback = std::move(done);
        callback({std::move(outcome), id});
    }

    Store& store;
    optional_change change;
    write_id id;
    configuration known;
    done_callback done;
    bool may_have_written{false};
};

} // namespace coursejunction

#endif
