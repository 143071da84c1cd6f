/*! @file
 * @brief Keeps in the platform's store which versions were named and which of
 * them bind, where it outlasts all processes.
 */
#ifndef COURSEJUNCTION_FLEET_VERSION_RECORD_WRITER_HPP
#define COURSEJUNCTION_FLEET_VERSION_RECORD_WRITER_HPP

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "coursejunction/core/backoff.hpp"
#include "coursejunction/core/log.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/key_writer.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/version_record.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction
{

/*! @brief Writes single keys that stay, while they are at a revision; 0 for a
 * key that is absent. Answers come on the loop's thread: whether it was written
 * (false: the key is at another revision), or `unavailable`. */
template <typename Store>
concept Permanent_store = requires(Store& store, const std::string& key,
                                   const std::string& payload,
                                   std::uint64_t revision,
                                   std::function<void(result<bool>)> done)
{
    store.put_permanent(key, payload, revision, done);
};

/*! @brief Writes what the store's records lack. All entries know the same, so
 * that they write one after the other, and only what is still missing.
 *
 * The name of a version in the store may go back: a write without an answer can
 * be done seconds later, over a newer one.
 * @tparam Store A `Permanent_store`. */
template <typename Store>
class version_record_writer
{
public:
    /*! @brief An entry waits this long for each entry before it. */
    static constexpr milliseconds rank_delay{500};

    /*! @brief A record that cannot be believed is left for so long: the name
     * that bears it out may be on its way. */
    static constexpr milliseconds doubt_time{1000};

    /*! @brief Pauses after writes, until the mirror shows what became of
     * them. */
    static constexpr milliseconds first_pause{500};
    static constexpr milliseconds longest_pause{4000};

    /*! @param seed Another one for each entry. */
    version_record_writer(event_loop& owner, Store& service,
                          const store_mirror& held, metrics& counted,
                          std::uint32_t seed)
        : store(service), mirror(held),
          writer(owner, counted, "version_record_writes_total",
                 backoff(first_pause, longest_pause, seed))
    {
    }

    /*! @brief Notes what is known of a model's versions.
     * @param vouched The newest version that anything but a record tells. */
    void add_known(const version_record& record, std::uint64_t vouched)
    {
        auto& one = known[record.model];
        one.record.model = record.model;
        one.record.merge(record);
        one.vouched = std::max(one.vouched, vouched);
    }

    /*! @brief Writes what is missing when it is this entry's turn.
     * @param rank How many entries come before this one. */
    void write_if_due(std::size_t rank, time_point now)
    {
        for (const auto& [model, one] : known)
        {
            const auto held = stored(one);
            if (held.believed && held.record.covers(one.record))
            {
                missing_since.erase(model);
                continue;
            }
            const auto since = missing_since.try_emplace(model, now);
            const auto waits = rank_delay * static_cast<std::int64_t>(rank) +
                               (held.believed ? milliseconds{0} : doubt_time);
            if (!writer.busy() && now - since.first->second >= waits)
                write(one.record, held);
        }
    }

private:
    struct known_versions
    {
        version_record record;
        std::uint64_t vouched{1};
    };

    /*! @brief What the store holds as far as is known. */
    struct stored_record
    {
        version_record record; /*!< Empty when there is none to read. */
        std::uint64_t revision{0};
        bool believed{true};
    };

    [[nodiscard]] stored_record stored(const known_versions& one) const
    {
        stored_record made;
        const auto key = version_record_key(one.record.model);
        const auto* value = mirror.find(key);
        if (value == nullptr)
            return made;
        made.revision = value->revision;
        if (const auto read = read_version_record(key, value->payload))
            made.record = read.value();
        made.believed = plausible(made.record, one.vouched);
        return made;
    }

    /*! @brief Replaces a record that cannot be believed, and adds to another
     * one. */
    void write(version_record record, const stored_record& held)
    {
        if (held.believed)
            record.merge(held.record);
        else
            log::warning("version_record_replaced",
                         {{"model", record.model},
                          {"held", std::to_string(held.record.newest)},
                          {"newest", std::to_string(record.newest)}});
        store.put_permanent(
            version_record_key(record.model), version_record_payload(record),
            held.revision,
            writer.begin([this, record, added = held.believed](
                             write_outcome outcome, const std::string& why)
                         { ended(record, added, outcome, why); }));
    }

    /*! @param added Nothing was replaced. Entries that know different things
     * would replace each other's records: those pauses grow. */
    void ended(const version_record& record, bool added, write_outcome outcome,
               const std::string& why)
    {
        log::state("version_record_write",
                   {{"model", record.model},
                    {"newest", std::to_string(record.newest)},
                    {"binding", std::to_string(record.minimum)},
                    {"result", write_outcome_name(outcome)},
                    {"why", why}});
        if (outcome == write_outcome::written && added)
            writer.succeeded();
        writer.rest();
    }

    Store& store;
    const store_mirror& mirror;
    std::map<std::string, known_versions> known;
    std::map<std::string, time_point> missing_since;
    key_writer writer;
};

} // namespace coursejunction

#endif
