/*! @file
 * @brief Writes the configuration by compare-and-swap, and finds out what
 * became of a write whose answer was lost.
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

/*! @brief A value as the key-value service returned it. */
struct stored_value
{
    std::uint64_t index{0}; /*!< Index of the last change; 0 when absent. */
    std::string text;
    /*! @brief Index that a watch waits above: of the service when the key is
     * absent, since a watch above 0 is answered at once. */
    std::uint64_t watch_index{0};
};

/*! @brief What became of one compare-and-swap. */
enum class swap_outcome : std::uint8_t
{
    swapped,
    lost_race,
    not_sent,
    no_session, /*!< The session is gone; nothing was written. */
    unknown
};

/*! @brief What became of a change. */
struct write_result
{
    /*! @brief The configuration in force after it, when it was accepted. */
    result<configuration> outcome;
    write_id id;
};

/*! @brief Asynchronous access to the one key that holds the configuration. */
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

/*! @brief One write from an operator, from first read to a certain end or to
 * "unknown" when the service stays silent until the store says
 * `deadline_passed`.
 * @tparam Store A `Configuration_store`; it must outlive the write. */
template <typename Store>
class configuration_writer
    : public std::enable_shared_from_this<configuration_writer<Store>>
{
public:
    using done_callback = std::function<void(write_result)>;

    /*! @brief Starts a write.
     * @param known Configuration already in force. What the store lacks of it
     * is written with the change: the compare-and-swap fails if the read was
     * stale, and succeeds if the store came back from an older copy. */
    static void start(Store& store, configuration_change change, write_id id,
                      configuration known, done_callback done)
    {
        begin(store, std::move(change), std::move(id), std::move(known),
              std::move(done));
    }

    /*! @brief Starts to write what the store lacks of a configuration that was
     * acknowledged; it ends at once when it lacks nothing. */
    static void restore(Store& store, configuration known, write_id id,
                        done_callback done)
    {
        begin(store, std::nullopt, std::move(id), std::move(known),
              std::move(done));
    }

private:
    static constexpr const char* silent =
        "the key-value service does not answer; nothing was changed";
    static constexpr const char* outrun =
        "others change the configuration all the time; nothing was changed";

    using optional_change = std::optional<configuration_change>;

    static void begin(Store& store, optional_change change, write_id id,
                      configuration known, done_callback done)
    {
        auto made = std::shared_ptr<configuration_writer>(
            new configuration_writer(store, std::move(change), std::move(id),
                                     std::move(known), std::move(done)));
        made->read();
    }

    configuration_writer(Store& target, optional_change what, write_id own,
                         configuration least, done_callback call)
        : store(target), change(std::move(what)), id(std::move(own)),
          known(std::move(least)), done(std::move(call))
    {
    }

    void read()
    {
        store.read([self = this->shared_from_this()](result<stored_value> got)
                   { self->on_read(std::move(got)); });
    }

    void on_read(result<stored_value> got)
    {
        if (!got)
            return again(error_kind::unavailable, silent);
        auto now = got.value().index == 0
                       ? result<configuration>(configuration())
                       : configuration::parse(got.value().text);
        if (!now)
            return finish(failure(error_kind::refused,
                                  "stored configuration cannot be read"));
        if (written(now.value()))
            return finish(std::move(now.value()));
        auto next = next_of(now.value());
        if (!next)
            return finish(failure(next.error().kind, next.error().message));
        swap(got.value().index, std::move(next.value()));
    }

    [[nodiscard]] bool written(const configuration& stored) const
    {
        return change ? stored.revision_of_write(id).has_value()
                      : stored.descends_from(known);
    }

    [[nodiscard]] result<configuration>
    next_of(const configuration& stored) const
    {
        auto whole = known.merge(stored, write_id("join-" + id.value()));
        if (!change)
            return whole;
        return whole.apply(*change, id);
    }

    void swap(std::uint64_t index, configuration next)
    {
        const auto text = next.to_json();
        store.compare_and_swap(index, text,
                               [self = this->shared_from_this(),
                                next = std::move(next)](swap_outcome end)
                               { self->on_swap(end, next); });
    }

    void on_swap(swap_outcome end, const configuration& next)
    {
        switch (end)
        {
        case swap_outcome::swapped:
            return finish(next);
        case swap_outcome::lost_race:
            // Whoever was faster may not be the last: all read and write the
            // whole, over links that they share.
            return again(error_kind::unavailable, outrun);
        case swap_outcome::not_sent:
        case swap_outcome::no_session:
            return again(error_kind::unavailable, silent);
        case swap_outcome::unknown:
            // The write may have taken effect, or may still: read back. The
            // same write id makes a second try harmless.
            maybe_written = true;
            return again(error_kind::unknown, silent);
        }
    }

    /*! @param why Told to the operator when the time is over. */
    void again(error_kind when_expired, const char* why)
    {
        if (!store.deadline_passed())
            return store.retry_later([self = this->shared_from_this()]
                                     { self->read(); });
        const auto kind = maybe_written ? error_kind::unknown : when_expired;
        finish(failure(kind, kind == error_kind::unknown
                                 ? "the change may or may not take effect"
                                 : why));
    }

    void finish(result<configuration> end)
    {
        const auto call = std::move(done);
        call({std::move(end), id});
    }

    Store& store;
    optional_change change;
    write_id id;
    configuration known;
    done_callback done;
    bool maybe_written{false};
};

} // namespace coursejunction

#endif
