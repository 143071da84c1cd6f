/*! @file
 * @brief Keeps a copy of the newest configuration in the platform's store while
 * the operator's key shows an older one.
 */
#ifndef COURSEJUNCTION_FLEET_CONFIGURATION_COPY_WRITER_HPP
#define COURSEJUNCTION_FLEET_CONFIGURATION_COPY_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/fleet_view.hpp"
#include "coursejunction/fleet/key_writer.hpp"
#include "coursejunction/fleet/store_mirror.hpp"

namespace coursejunction
{

/*! @brief The operator's key may go back: a write without an answer can be done
 * seconds later, over a newer one, and a store can come back without the
 * newest. Processes that live keep the newest; those that start after all ended
 * read it here. The copy goes when it is needed no more: it may be large.
 * @tparam Store A `Permanent_store` that removes keys as well.
 * @tparam Catalogue An `Item_catalogue` with the order of values. */
template <typename Store, typename Catalogue>
class configuration_copy_writer
{
public:
    /*! @brief An entry waits this long for each entry before it. */
    static constexpr milliseconds rank_delay{500};

    static constexpr milliseconds first_pause{500};
    static constexpr milliseconds longest_pause{4000};

    /*! @param seed Another one for each entry. */
    configuration_copy_writer(event_loop& owner, Store& service,
                              const store_mirror& held, metrics& counted,
                              std::uint32_t seed)
        : store(service), mirror(held),
          writer(owner, counted, "configuration_copy_writes_total",
                 backoff(first_pause, longest_pause, seed))
    {
    }

    /*! @brief Keys changed.
     * @param in_force The number of the configuration in force. */
    void on_keys_changed(const std::vector<std::string>& keys,
                         std::uint64_t in_force)
    {
        bool changed = false;
        for (const auto& key : keys)
        {
            const auto kind = Catalogue::kind(key);
            if (kind == item_kind::configuration)
                operators.key = key;
            changed = changed || kind == item_kind::configuration ||
                      kind == item_kind::configuration_copy;
        }
        if (!changed || operators.key.empty())
            return;
        operators.number = take(operators.key, in_force);
        copied = take(configuration_copy_key(), in_force);
    }

    /*! @brief Writes or removes the copy when it is this entry's turn.
     * @param rank How many entries come before this one. */
    void write_if_due(std::size_t rank, time_point now)
    {
        if (newest == 0 || operators.key.empty())
            return;
        const bool needed = operators.number < newest || stands_only();
        const auto* copy = mirror.find(configuration_copy_key());
        const bool there = copy != nullptr;
        if (needed ? there && copied == newest : !there)
        {
            wrong_since.reset();
            return;
        }
        if (!wrong_since)
            wrong_since = now;
        if (writer.busy() ||
            now - *wrong_since < rank_delay * static_cast<std::int64_t>(rank))
            return;
        const auto revision = copy == nullptr ? 0 : copy->revision;
        if (needed)
            store.put_permanent(configuration_copy_key(), payload, revision,
                                writer.begin(noted("keep")));
        else
            store.remove(configuration_copy_key(), revision,
                         writer.begin(noted("remove")));
    }

private:
    /*! @brief A key, and the number of the configuration that it shows; 0 when
     * it shows none. */
    struct shown_number
    {
        std::string key;
        std::uint64_t number{0};
    };

    /*! @brief Reads the number of a configuration, and takes the one that is in
     * force.
     * @return 0 when the key shows none. */
    std::uint64_t take(const std::string& key, std::uint64_t in_force)
    {
        const auto* value = mirror.find(key);
        if (value == nullptr)
            return 0;
        const auto number =
            Catalogue::order(operators.key, value->payload).count;
        if (number == in_force && in_force > newest)
        {
            newest = in_force;
            payload = value->payload;
        }
        return number;
    }

    /*! @brief Tells whether the operator's value is one of an earlier era of
     * the store, which the store itself lacks. */
    [[nodiscard]] bool stands_only() const
    {
        const auto* shown = mirror.find(operators.key);
        return shown == nullptr || shown->era < mirror.position().era;
    }

    [[nodiscard]] key_writer::ended_callback noted(const std::string& what)
    {
        return [this, what, version = newest](write_outcome outcome,
                                              const std::string& why)
        {
            log::state("configuration_copy_write",
                       {{"what", what},
                        {"version", std::to_string(version)},
                        {"result", write_outcome_name(outcome)},
                        {"why", why}});
            if (outcome == write_outcome::written)
                writer.succeeded();
            writer.rest();
        };
    }

    Store& store;
    const store_mirror& mirror;
    key_writer writer;
    shown_number operators;
    std::uint64_t copied{0}; /*!< Number of the copy in the store. */
    std::string payload;     /*!< Of the newest configuration. */
    std::uint64_t newest{0};
    std::optional<time_point> wrong_since;
};

} // namespace coursejunction

#endif
