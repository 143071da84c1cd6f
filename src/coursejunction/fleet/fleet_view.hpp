/*! @file
 * @brief Typed view of the mirrored store: the configuration, upstreams and
 * published versions.
 */
#ifndef COURSEJUNCTION_FLEET_FLEET_VIEW_HPP
#define COURSEJUNCTION_FLEET_FLEET_VIEW_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/fleet/hall_evacuations.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/fleet/item_catalogue.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/version_record.hpp"

namespace coursejunction
{

/*! @brief A change to an upstream's record. */
struct upstream_change
{
    instance_id id;
    incarnation life; /*!< Incarnation in the record; empty once removed. */
    bool removed{false};
    bool malformed{false};     /*!< The record exists but cannot be parsed. */
    store_position position{}; /*!< Of the record or of its removal. */
};

/*! @brief The configuration, the upstreams and the published versions, updated
 * as keys of the mirror change. A value that cannot be parsed is logged and
 * ignored, but an upstream whose record cannot be parsed is removed.
 *
 * An operator publishes a version of a model by writing it to the model's
 * version key. Versions are learnt from four sources: the operator's version
 * key, the version records that entries write to the store, gossip from peers,
 * and the second source that entries poll. The set of known versions only
 * grows, since the store may lose or revert a key.
 * @tparam Platform Provides `catalogue`, an `Item_catalogue`. */
template <typename Platform>
class fleet_view
{
public:
    using catalogue = typename Platform::catalogue;

    /*! @brief Reads the changed keys from the mirror.
     * @return The changes to upstream records. */
    std::vector<upstream_change> update(const store_mirror& mirror,
                                        const std::vector<std::string>& keys)
    {
        std::vector<upstream_change> changes;
        bool configuration_changed = false;
        for (const auto& key : keys)
        {
            const auto* value = mirror.find(key);
            switch (catalogue::kind(key))
            {
            case item_kind::configuration:
                if (value != nullptr)
                    read_configuration(key, *value);
                configuration_changed = true;
                break;
            case item_kind::configuration_copy:
                configuration_changed = true;
                break;
            case item_kind::upstream:
                if (auto change = read_upstream(mirror, key))
                    changes.push_back(std::move(*change));
                break;
            case item_kind::version:
                if (value != nullptr)
                    read_version(key, *value);
                break;
            case item_kind::version_record:
                if (value != nullptr)
                    read_model_record(key, *value);
                else
                    recorded.erase(key.substr(version_record_prefix.size()));
                break;
            case item_kind::evacuation:
                evacuation_keys.add(key, catalogue::evacuated_hall(key));
                break;
            case item_kind::quarantine:
            case item_kind::other:
                break;
            }
        }
        evacuation_keys.read(mirror);
        apply_plausible_version_records();
        if (configuration_changed)
            read_configuration_copy(mirror);
        return changes;
    }

    /*! @brief Returns the configuration in force, or null if there is none. */
    [[nodiscard]] const installation* configuration() const
    {
        return current.get();
    }

    /*! @brief Returns shared ownership of the configuration in force, or null.
     */
    [[nodiscard]] std::shared_ptr<const installation>
    shared_configuration() const
    {
        return current;
    }

    [[nodiscard]] const std::map<instance_id, upstream_record>&
    upstreams() const
    {
        return upstream_records;
    }

    /*! @brief Returns the publication times by model and version. */
    [[nodiscard]] const std::map<std::pair<std::string, std::uint64_t>,
                                 time_point>&
    versions() const
    {
        return publish_times;
    }

    /*! @brief Returns the state of each hall that was ever evacuated. */
    [[nodiscard]] const std::map<hall_id, hall_evacuation>& evacuations() const
    {
        return evacuation_keys.all();
    }

    /*! @brief Returns how often an upstream record could not be parsed. */
    [[nodiscard]] std::size_t unreadable_records() const
    {
        return unreadable_count;
    }

    /*! @brief Returns the newest known version of a model; 1 if none was
     * published. */
    [[nodiscard]] std::uint64_t newest(const std::string& model) const
    {
        std::uint64_t version = 1;
        for (const auto& [key, known] : publish_times)
        {
            if (key.first == model)
                version = std::max(version, key.second);
        }
        return version;
    }

    /*! @brief Returns the minimum versions by model, as version records state
     * them: older versions must not begin new requests. */
    [[nodiscard]] const std::map<std::string, std::uint64_t>&
    minimum_versions() const
    {
        return minimums;
    }

    /*! @brief Adds a version that was learnt from a peer or from the second
     * source.
     * @param time Estimated publication time. Reporters estimate as early as
     * they can justify, so that the latest of several estimates is kept; it is
     * moved only by `min_correction` or more, and not for versions that were
     * learnt from the store first.
     * @return True if the version is new or its publication time moved. */
    bool add_version(const std::string& model, std::uint64_t version,
                     time_point time)
    {
        corroborate(model, version);
        apply_plausible_version_records();
        if (version < newest(model) &&
            !publish_times.contains({model, version}))
            return false;
        const auto [position, added] =
            publish_times.try_emplace({model, version}, time);
        if (added)
        {
            learnt_elsewhere.insert({model, version});
            log::state("version_told", {{"model", model},
                                        {"version", std::to_string(version)}});
            return true;
        }
        if (!learnt_elsewhere.contains({model, version}) ||
            time - position->second < min_correction)
            return false;
        position->second = time;
        return true;
    }

    /*! @brief Logs an implausible version that a peer reported, once per model.
     */
    void report_implausible_version(const std::string& model,
                                    std::uint64_t version)
    {
        if (implausible_models.insert(model).second)
            log::warning(
                "version_told_absurd",
                {{"model", model}, {"version", std::to_string(version)}});
    }

    /*! @brief Adds the version in a value that was overwritten before this view
     * read it: the mirror keeps only the last value of a key. */
    void add_overwritten_version(const message::mirror_item& item,
                                 time_point now)
    {
        if (catalogue::kind(item.key) != item_kind::version)
            return;
        const auto read = catalogue::version(item.payload);
        if (!read)
            return;
        const auto& [model, version] = read.value();
        corroborate(model, version);
        publish_times.try_emplace({model, version}, now);
        log::state("version_passed", {{"model", model},
                                      {"version", std::to_string(version)},
                                      {"revision", item.position().text()}});
    }

    /*! @brief Returns the newest version of a model that some source other than
     * a version record reported; 1 if none did. */
    [[nodiscard]] std::uint64_t
    newest_corroborated(const std::string& model) const
    {
        const auto found = corroborated.find(model);
        return found == corroborated.end() ? 1 : found->second;
    }

    /*! @brief Returns the newest version in the store, in the operator's key or
     * in the version record; 1 if there is none. */
    [[nodiscard]] std::uint64_t newest_stored(const std::string& model) const
    {
        const auto version = published.find(model);
        const auto record = recorded.find(model);
        return std::max({std::uint64_t{1},
                         version == published.end() ? 0 : version->second,
                         record == recorded.end() ? 0 : record->second});
    }

    /*! @brief Returns the version that the operator's key holds now; 1 if there
     * is none. */
    [[nodiscard]] std::uint64_t
    published_in_store(const std::string& model) const
    {
        const auto found = published.find(model);
        return found == published.end() ? 1 : found->second;
    }

    /*! @brief Returns whether a version key was rewritten without a higher
     * version since the last call: a newer version may have been written and
     * overwritten in between. */
    [[nodiscard]] bool consume_nonincreasing_publish()
    {
        return std::exchange(nonincreasing_publish, false);
    }

    /*! @brief Returns when a version was published, as far as is known; the
     * epoch if the version is unknown. */
    [[nodiscard]] time_point published_at(const std::string& model,
                                          std::uint64_t version) const
    {
        const auto found = publish_times.find({model, version});
        return found == publish_times.end() ? time_point{} : found->second;
    }

private:
    /*! @brief Smaller corrections are ignored: reports of the same publication
     * differ by the time they took to arrive. */
    static constexpr milliseconds min_correction{1000};

    /*! @brief A version record that is not plausible, or not yet. */
    struct implausible_record
    {
        version_record record;
        time_point first_seen{};
        bool logged{false}; /*!< Whether it was logged as implausible. */
    };

    /*! @brief The latest known incarnation of an upstream, to detect outdated
     * records: a write that got no response may take effect seconds later and
     * overwrite newer ones. */
    struct known_incarnation
    {
        /*! @brief Returns whether a record was written before the latest known
         * one: by an earlier incarnation, or by this one before it announced
         * that it leaves or its record was removed. */
        [[nodiscard]] bool supersedes(const upstream_record& record) const
        {
            return record.life < number ||
                   (record.life == number && leaving_or_removed &&
                    !record.leaving && record.sequence < sequence);
        }

        void apply(const upstream_record& record)
        {
            sequence = record.life == number
                           ? std::max(sequence, record.sequence)
                           : record.sequence;
            number = record.life;
            leaving_or_removed = record.leaving;
        }

        incarnation number;        /*!< `life` in its records. */
        std::uint64_t sequence{0}; /*!< Highest `count` in its records. */
        bool leaving_or_removed{false};
    };

    void read_configuration(const std::string& key, const mirrored_value& value)
    {
        auto read = catalogue::configuration(value.payload);
        if (!read)
            return log_unreadable(key, value, read.error().message);
        if (current && read.value().version < current->version)
            return log_unreadable(key, value,
                                  "version is lower than the current one");
        set_configuration(std::move(read.value()), value);
    }

    void set_configuration(installation next, const mirrored_value& value)
    {
        current = std::make_shared<const installation>(std::move(next));
        log::state("configuration_in_force",
                   {{"version", std::to_string(current->version)},
                    {"revision", value.position().text()}});
    }

    /*! @brief Uses the copy if it is newer than the configuration in force. It
     * is ignored while the operator's key was never read: without that number
     * to compare with, a corrupted number would stay in force permanently. */
    void read_configuration_copy(const store_mirror& mirror)
    {
        const auto* value = mirror.find(configuration_copy_key());
        if (value == nullptr || !current)
            return;
        auto read = catalogue::configuration(value->payload);
        if (!read)
            return log_unreadable(configuration_copy_key(), *value,
                                  read.error().message);
        const auto version = read.value().version;
        if (version <= current->version)
            return;
        if (!plausible_successor(current->version, version))
            return log_unreadable(configuration_copy_key(), *value,
                                  "implausible version: " +
                                      std::to_string(version));
        set_configuration(std::move(read.value()), *value);
    }

    /*! @brief Reads an upstream's record. If it cannot be parsed, the upstream
     * is removed: the record that it replaced is no longer valid.
     * @return The change; nothing for an outdated record. */
    std::optional<upstream_change> read_upstream(const store_mirror& mirror,
                                                 const std::string& key)
    {
        const auto id = catalogue::upstream_id(key);
        const auto* value = mirror.find(key);
        if (value == nullptr)
        {
            const auto known = incarnations.find(id);
            if (known != incarnations.end() &&
                !mirror.absent_without_removal(key))
                known->second.leaving_or_removed = true;
            upstream_records.erase(id);
            const auto removal = mirror.all().find(key);
            return upstream_change{id,
                                   {},
                                   true,
                                   false,
                                   removal == mirror.all().end()
                                       ? store_position{}
                                       : removal->second.position()};
        }
        auto read = catalogue::upstream(key, value->payload);
        if (!read)
            return reject_upstream(key, *value, read.error().message);
        auto& known = incarnations[id];
        const auto& record = read.value();
        if (record.life.empty() && !known.number.empty())
            return reject_upstream(key, *value, "the incarnation is missing");
        if (known.supersedes(record))
        {
            log::state("upstream_record_outdated",
                       {{"key", key},
                        {"revision", value->position().text()},
                        {"count", std::to_string(record.sequence)},
                        {"known", std::to_string(known.sequence)}});
            return std::nullopt;
        }
        known.apply(record);
        upstream_records[id] = std::move(read.value());
        return upstream_change{id, known.number, false, false,
                               value->position()};
    }

    upstream_change reject_upstream(const std::string& key,
                                    const mirrored_value& value,
                                    const std::string& reason)
    {
        log_unreadable(key, value, reason);
        ++unreadable_count;
        const auto id = catalogue::upstream_id(key);
        upstream_records.erase(id);
        return {id, {}, true, true};
    }

    void read_version(const std::string& key, const mirrored_value& value)
    {
        const auto read = catalogue::version(value.payload);
        if (!read)
            return log_unreadable(key, value, read.error().message);
        const auto& target = read.value();
        const auto known = newest(target.model);
        const auto [previous, added] =
            published.try_emplace(target.model, target.version);
        const bool rises = added || target.version > previous->second;
        nonincreasing_publish = nonincreasing_publish || !rises;
        previous->second = target.version;
        corroborate(target.model, target.version);
        publish_times.try_emplace({target.model, target.version},
                                  value.first_seen);
        log::state("version_named",
                   {{"model", target.model},
                    {"version", std::to_string(target.version)},
                    {"revision", value.position().text()}});
        if (!rises && target.version == known)
            log::warning("version_name_repeated",
                         {{"model", target.model},
                          {"version", std::to_string(target.version)},
                          {"revision", value.position().text()}});
        if (target.version < known)
            log::warning("version_name_went_back",
                         {{"model", target.model},
                          {"version", std::to_string(target.version)},
                          {"known", std::to_string(known)},
                          {"revision", value.position().text()}});
    }

    void read_model_record(const std::string& key, const mirrored_value& value)
    {
        const auto read = read_version_record(key, value.payload);
        if (!read)
            return log_unreadable(key, value, read.error().message);
        implausible_records[read.value().model] = {read.value(),
                                                   value.first_seen, false};
    }

    /*! @brief Applies the records that are plausible given the versions from
     * other sources. The rest wait: a record may be read before the
     * version key that corroborates it. */
    void apply_plausible_version_records()
    {
        for (auto position = implausible_records.begin();
             position != implausible_records.end();)
        {
            auto& [model, pending] = *position;
            if (plausible(pending.record, newest_corroborated(model)))
            {
                apply_version_record(pending);
                position = implausible_records.erase(position);
                continue;
            }
            if (!std::exchange(pending.logged, true))
                log::warning(
                    "version_record_absurd",
                    {{"model", model},
                     {"newest", std::to_string(pending.record.newest)},
                     {"known", std::to_string(newest_corroborated(model))}});
            ++position;
        }
    }

    void apply_version_record(const implausible_record& pending)
    {
        const auto& record = pending.record;
        if (record.newest > 0)
            publish_times.try_emplace({record.model, record.newest},
                                      pending.first_seen);
        recorded[record.model] = record.newest;
        auto& minimum = minimums[record.model];
        minimum = std::max(minimum, record.minimum);
        log::state("version_record_read",
                   {{"model", record.model},
                    {"newest", std::to_string(record.newest)},
                    {"binding", std::to_string(record.minimum)}});
    }

    void corroborate(const std::string& model, std::uint64_t version)
    {
        auto& newest_known = corroborated.try_emplace(model, 1).first->second;
        newest_known = std::max(newest_known, version);
    }

    static void log_unreadable(const std::string& key,
                               const mirrored_value& value,
                               const std::string& reason)
    {
        log::warning("item_unreadable", {{"key", key},
                                         {"revision", value.position().text()},
                                         {"why", reason}});
    }

    std::shared_ptr<const installation> current;
    std::map<instance_id, upstream_record> upstream_records;
    /*! @brief By upstream. Elements are never removed, like the mirror's
     * tombstones of removed keys. */
    std::map<instance_id, known_incarnation> incarnations;
    hall_evacuations evacuation_keys;
    std::size_t unreadable_count{0};
    std::map<std::pair<std::string, std::uint64_t>, time_point> publish_times;
    /*! @brief Versions that were not learnt from the store first. */
    std::set<std::pair<std::string, std::uint64_t>> learnt_elsewhere;
    /*! @brief Models for which an implausible version was logged. */
    std::set<std::string> implausible_models;
    std::map<std::string, std::uint64_t> minimums;  /*!< By model. */
    std::map<std::string, std::uint64_t> published; /*!< In operators' keys. */
    std::map<std::string, std::uint64_t> recorded;  /*!< In version records. */
    /*! @brief The newest from any source other than version records. */
    std::map<std::string, std::uint64_t> corroborated;
    /*! @brief By model. */
    std::map<std::string, implausible_record> implausible_records;
    bool nonincreasing_publish{false}; /*!< Since it was last consumed. */
};

} // namespace coursejunction

#endif
