/*! @file
 * @brief Persists the newest published and the minimum versions in the
 * platform's store, where they outlast all processes.
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

/*! @brief A store in which a key can be written conditionally, if it is at a
 * given revision; 0 for an absent key. The key does not expire. `done` is
 * called on the loop's thread: true if it was written, false if the key is at
 * another revision, or `unavailable`. */
template <typename Store>
concept Permanent_store = requires(Store& store, const std::string& key,
                                   const std::string& payload,
                                   std::uint64_t revision,
                                   std::function<void(result<bool>)> done)
{
    store.put_permanent(key, payload, revision, done);
};

/*! @brief Writes version records that lack something. All entries usually know
 * the same. Their writes are therefore staggered by rank, and each writes only
 * what is still missing.
 *
 * A record is needed because the operator's version key may go back: a write
 * that got no response may take effect seconds later and overwrite a newer one.
 * @tparam Store A `Permanent_store`. */
template <typename Store>
class version_record_writer
{
public:
    /*! @brief An entry delays its write by this for each entry before it. */
    static constexpr milliseconds rank_delay{500};

    /*! @brief An implausible record is left alone for this long: the version
     * key that corroborates it may not have arrived yet. */
    static constexpr milliseconds implausible_grace{1000};

    /*! @brief Delays after writes, until the mirror shows their effect. */
    static constexpr milliseconds initial_backoff{500};
    static constexpr milliseconds max_backoff{4000};

    /*! @param random_seed Must differ between entries. */
    version_record_writer(event_loop& owner, Store& target,
                          const store_mirror& mirrored, metrics& registry,
                          std::uint32_t random_seed)
        : store(target), mirror(mirrored),
          writer(owner, registry, "version_record_writes_total",
                 backoff(initial_backoff, max_backoff, random_seed))
    {
    }

    /*! @brief Adds what this process knows of a model's versions.
     * @param corroborated The newest version that some source other than a
     * version record reported. */
    void add_known(const version_record& record, std::uint64_t corroborated)
    {
        auto& versions = known[record.model];
        versions.record.model = record.model;
        versions.record.merge(record);
        versions.corroborated = std::max(versions.corroborated, corroborated);
    }

    /*! @brief Writes what is missing if it is due; to be called several times a
     * second.
     * @param rank The number of entries before this one. */
    void write_if_due(std::size_t rank, time_point now)
    {
        for (const auto& [model, versions] : known)
        {
            const auto current = read_stored(versions);
            if (current.is_plausible && current.record.covers(versions.record))
            {
                missing_since.erase(model);
                continue;
            }
            const auto since = missing_since.try_emplace(model, now);
            const auto delay =
                rank_delay * static_cast<std::int64_t>(rank) +
                (current.is_plausible ? milliseconds{0} : implausible_grace);
            if (!writer.busy() && now - since.first->second >= delay)
                write(versions.record, current);
        }
    }

private:
    struct known_versions
    {
        version_record record;
        std::uint64_t corroborated{1};
    };

    /*! @brief The record that the mirror shows. */
    struct stored_record
    {
        version_record record; /*!< Empty if absent or malformed. */
        std::uint64_t revision{0};
        bool is_plausible{true};
    };

    [[nodiscard]] stored_record
    read_stored(const known_versions& versions) const
    {
        stored_record made;
        const auto key = version_record_key(versions.record.model);
        const auto* value = mirror.find(key);
        if (value == nullptr)
            return made;
        made.revision = value->revision;
        if (const auto read = read_version_record(key, value->payload))
            made.record = read.value();
        made.is_plausible = plausible(made.record, versions.corroborated);
        return made;
    }

    /*! @brief Merges into a plausible record, and replaces an implausible one.
     */
    void write(version_record record, const stored_record& current)
    {
        if (current.is_plausible)
            record.merge(current.record);
        else
            log::warning("version_record_replaced",
                         {{"model", record.model},
                          {"held", std::to_string(current.record.newest)},
                          {"newest", std::to_string(record.newest)}});
        store.put_permanent(
            version_record_key(record.model), version_record_payload(record),
            current.revision,
            writer.begin([this, record, merged = current.is_plausible](
                             write_outcome outcome, const std::string& why)
                         { finish(record, merged, outcome, why); }));
    }

    /*! @param merged False if a record was replaced: the delays keep growing
     * then, since entries that know different versions would replace each
     * other's records. */
    void finish(const version_record& record, bool merged,
                write_outcome outcome, const std::string& why)
    {
        log::state("version_record_write",
                   {{"model", record.model},
                    {"newest", std::to_string(record.newest)},
                    {"binding", std::to_string(record.minimum)},
                    {"result", write_outcome_name(outcome)},
                    {"why", why}});
        if (outcome == write_outcome::written && merged)
            writer.reset_backoff();
        writer.back_off();
    }

    Store& store;
    const store_mirror& mirror;
    std::map<std::string, known_versions> known;
    std::map<std::string, time_point> missing_since;
    key_writer writer;
};

} // namespace coursejunction

#endif
