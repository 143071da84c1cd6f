/*! @file
 * @brief The mirror's items as the product's own types.
 */
#ifndef COURSEJUNCTION_FLEET_FLEET_VIEW_HPP
#define COURSEJUNCTION_FLEET_FLEET_VIEW_HPP

#include <algorithm>
#include <concepts>
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
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/version_record.hpp"

namespace coursejunction
{

/*! @brief What a key of the store holds. */
enum class item_kind : std::uint8_t
{
    configuration,
    upstream,
    version,
    version_record, /*!< What is known of a model's versions. */
    quarantine,     /*!< A request that crashes upstreams. */
    /*! @brief The newest configuration, while the operator's key shows an older
     * one. */
    configuration_copy,
    other
};

/*! @brief Returns the key of that copy. */
[[nodiscard]] inline std::string configuration_copy_key()
{
    return "configuration/newest";
}

/*! @brief Reads the platform's items; pure. */
template <typename Catalogue>
concept Item_catalogue = requires(const std::string& key,
                                  const std::string& payload)
{
    {
        Catalogue::kind(key)
        } -> std::same_as<item_kind>;
    {
        Catalogue::configuration(payload)
        } -> std::same_as<result<installation>>;
    {
        Catalogue::upstream(key, payload)
        } -> std::same_as<result<upstream_record>>;
    {
        Catalogue::upstream_id(key)
        } -> std::same_as<instance_id>;
    {
        Catalogue::version(payload)
        } -> std::same_as<result<version_target>>;
};

/*! @brief One change of an upstream's record. */
struct upstream_change
{
    instance_id id;
    incarnation life; /*!< Of its record; empty when that is gone. */
    bool removed{false};
    bool malformed{false}; /*!< A record is there that cannot be read. */
};

/*! @brief Configuration, upstreams and named versions, kept up to date.
 * @tparam Platform Names the `catalogue`, an `Item_catalogue`. */
template <typename Platform>
class fleet_view
{
public:
    using catalogue = typename Platform::catalogue;

    /*! @brief Reads keys that changed.
     * @return The upstreams that changed. */
    std::vector<upstream_change> update(const store_mirror& mirror,
                                        const std::vector<std::string>& keys)
    {
        std::vector<upstream_change> changes;
        bool configured = false;
        for (const auto& key : keys)
        {
            const auto* value = mirror.find(key);
            switch (catalogue::kind(key))
            {
            case item_kind::configuration:
                if (value != nullptr)
                    read_configuration(key, *value);
                configured = true;
                break;
            case item_kind::configuration_copy:
                configured = true;
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
                    read_record(key, *value);
                else
                    kept.erase(key.substr(version_record_prefix.size()));
                break;
            case item_kind::quarantine:
            case item_kind::other:
                break;
            }
        }
        judge_records();
        if (configured)
            read_kept_configuration(mirror);
        return changes;
    }

    /*! @brief Returns the configuration in force, or null. */
    [[nodiscard]] const installation* configuration() const
    {
        return current.get();
    }

    /*! @brief Returns the configuration in force for sharing, or null. */
    [[nodiscard]] std::shared_ptr<const installation>
    shared_configuration() const
    {
        return current;
    }

    [[nodiscard]] const std::map<instance_id, upstream_record>&
    upstreams() const
    {
        return records;
    }

    /*! @brief Returns the named versions with the times of their naming. */
    [[nodiscard]] const std::map<std::pair<std::string, std::uint64_t>,
                                 time_point>&
    versions() const
    {
        return targets;
    }

    /*! @brief Returns how many records of upstreams could not be read. */
    [[nodiscard]] std::size_t unreadable_records() const { return refused; }

    /*! @brief Returns the newest version of a model; 1 when none was named. */
    [[nodiscard]] std::uint64_t newest(const std::string& model) const
    {
        std::uint64_t version = 1;
        for (const auto& [key, known] : targets)
        {
            if (key.first == model)
                version = std::max(version, key.second);
        }
        return version;
    }

    /*! @brief Returns the versions that are known to bind, by model: older
     * ones begin no request any more. */
    [[nodiscard]] const std::map<std::string, std::uint64_t>&
    minimum_versions() const
    {
        return bound;
    }

    /*! @brief Takes a version that the store does not show.
     * @param known When it was named. Of several words the latest counts: each
     * is the earliest that somebody could tell.
     * @return Whether it is new, or was named later than was known. */
    bool add_version(const std::string& model, std::uint64_t version,
                     time_point known)
    {
        vouch(model, version);
        judge_records();
        if (version < newest(model) && !targets.contains({model, version}))
            return false;
        const auto [place, added] =
            targets.try_emplace({model, version}, known);
        if (added)
        {
            only_told.insert({model, version});
            log::state("version_told", {{"model", model},
                                        {"version", std::to_string(version)}});
            return true;
        }
        if (!only_told.contains({model, version}) ||
            known - place->second < least_correction)
            return false;
        place->second = known;
        return true;
    }

    /*! @brief A peer told a version that cannot be; logged once for a model. */
    void report_implausible_version(const std::string& model,
                                    std::uint64_t version)
    {
        if (absurd.insert(model).second)
            log::warning(
                "version_told_absurd",
                {{"model", model}, {"version", std::to_string(version)}});
    }

    /*! @brief Takes a name of a version that a later one replaced before it was
     * read: the mirror keeps the last one only. */
    void add_overwritten_version(const message::mirror_item& one,
                                 time_point now)
    {
        if (catalogue::kind(one.key) != item_kind::version)
            return;
        const auto read = catalogue::version(one.payload);
        if (!read)
            return;
        const auto& [model, version] = read.value();
        vouch(model, version);
        targets.try_emplace({model, version}, now);
        log::state("version_passed", {{"model", model},
                                      {"version", std::to_string(version)},
                                      {"revision", one.position().text()}});
    }

    /*! @brief Returns the newest version of a model that anything but a record
     * told; 1 when nothing did. */
    [[nodiscard]] std::uint64_t
    newest_corroborated(const std::string& model) const
    {
        const auto found = vouched_for.find(model);
        return found == vouched_for.end() ? 1 : found->second;
    }

    /*! @brief Returns the newest version that a name or a record of the store
     * tells; 1 when none does. */
    [[nodiscard]] std::uint64_t newest_stored(const std::string& model) const
    {
        const auto name = named.find(model);
        const auto record = kept.find(model);
        return std::max({std::uint64_t{1},
                         name == named.end() ? 0 : name->second,
                         record == kept.end() ? 0 : record->second});
    }

    /*! @brief Returns the version that the store names now; 1 when none. */
    [[nodiscard]] std::uint64_t
    published_in_store(const std::string& model) const
    {
        const auto found = named.find(model);
        return found == named.end() ? 1 : found->second;
    }

    /*! @brief Tells, once, whether a name was written anew without rising:
     * another one may have been written and overwritten in between. */
    [[nodiscard]] bool consume_nonincreasing_publish()
    {
        return std::exchange(repeated, false);
    }

    /*! @brief Returns when a version was named, as far as is known. */
    [[nodiscard]] time_point published_at(const std::string& model,
                                          std::uint64_t version) const
    {
        const auto found = targets.find({model, version});
        return found == targets.end() ? time_point{} : found->second;
    }

private:
    /*! @brief Words of one naming differ by what they took to arrive. */
    static constexpr milliseconds least_correction{1000};

    /*! @brief A record of versions that was read. */
    struct record_claim
    {
        version_record record;
        time_point learnt{};
        bool refused{false}; /*!< That it is not believed was logged. */
    };

    /*! @brief The latest life of an upstream. A write without an answer may be
     * done seconds later, over what was written since. */
    struct known_life
    {
        /*! @brief Tells whether a record was written before what is known: in
         * an earlier life, or in this one before it was to end. */
        [[nodiscard]] bool precludes(const upstream_record& one) const
        {
            return one.life < life || (one.life == life && closed &&
                                       !one.leaving && one.sequence < count);
        }

        void take(const upstream_record& one)
        {
            count =
                one.life == life ? std::max(count, one.sequence) : one.sequence;
            life = one.life;
            closed = one.leaving;
        }

        incarnation life;
        std::uint64_t count{0}; /*!< The highest of its records. */
        bool closed{false};     /*!< It said that it leaves, or is gone. */
    };

    void read_configuration(const std::string& key, const mirrored_value& value)
    {
        auto read = catalogue::configuration(value.payload);
        if (!read)
            return unreadable(key, value, read.error().message);
        if (current && read.value().version < current->version)
            return unreadable(key, value, "version goes back");
        configure(std::move(read.value()), value);
    }

    void configure(installation next, const mirrored_value& value)
    {
        current = std::make_shared<const installation>(std::move(next));
        log::state("configuration_in_force",
                   {{"version", std::to_string(current->version)},
                    {"revision", value.position().text()}});
    }

    /*! @brief Takes the copy of a newer configuration than the operator's key
     * shows. It says nothing without that one: a number that was spoilt would
     * stay in force for good. */
    void read_kept_configuration(const store_mirror& mirror)
    {
        const auto* value = mirror.find(configuration_copy_key());
        if (value == nullptr || !current)
            return;
        auto read = catalogue::configuration(value->payload);
        if (!read)
            return unreadable(configuration_copy_key(), *value,
                              read.error().message);
        const auto version = read.value().version;
        if (version <= current->version)
            return;
        if (!plausible_successor(current->version, version))
            return unreadable(configuration_copy_key(), *value,
                              "absurd version: " + std::to_string(version));
        configure(std::move(read.value()), *value);
    }

    /*! @brief Reads an upstream's record. One that cannot be read names no
     * upstream to use, and what it replaced is not kept in its place.
     * @return What changed; nothing for what was written before. */
    std::optional<upstream_change> read_upstream(const store_mirror& mirror,
                                                 const std::string& key)
    {
        const auto id = catalogue::upstream_id(key);
        const auto* value = mirror.find(key);
        if (value == nullptr)
        {
            const auto known = lives.find(id);
            if (known != lives.end() && !mirror.absent_without_removal(key))
                known->second.closed = true;
            records.erase(id);
            return upstream_change{id, {}, true};
        }
        auto read = catalogue::upstream(key, value->payload);
        if (!read)
            return refuse_upstream(key, *value, read.error().message);
        auto& known = lives[id];
        const auto& one = read.value();
        if (one.life.empty() && !known.life.empty())
            return refuse_upstream(key, *value, "its life is not told");
        if (known.precludes(one))
        {
            log::state("upstream_record_outdated",
                       {{"key", key},
                        {"revision", value->position().text()},
                        {"count", std::to_string(one.sequence)},
                        {"known", std::to_string(known.count)}});
            return std::nullopt;
        }
        known.take(one);
        records[id] = std::move(read.value());
        return upstream_change{id, known.life};
    }

    upstream_change refuse_upstream(const std::string& key,
                                    const mirrored_value& value,
                                    const std::string& why)
    {
        unreadable(key, value, why);
        ++refused;
        const auto id = catalogue::upstream_id(key);
        records.erase(id);
        return {id, {}, true, true};
    }

    void read_version(const std::string& key, const mirrored_value& value)
    {
        const auto read = catalogue::version(value.payload);
        if (!read)
            return unreadable(key, value, read.error().message);
        const auto& target = read.value();
        const auto known = newest(target.model);
        const auto [before, first] =
            named.try_emplace(target.model, target.version);
        const bool rises = first || target.version > before->second;
        repeated = repeated || !rises;
        before->second = target.version;
        vouch(target.model, target.version);
        targets.try_emplace({target.model, target.version}, value.first_seen);
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

    void read_record(const std::string& key, const mirrored_value& value)
    {
        const auto read = read_version_record(key, value.payload);
        if (!read)
            return unreadable(key, value, read.error().message);
        claims[read.value().model] = {read.value(), value.first_seen, false};
    }

    /*! @brief Believes the records that what else is known allows. A record
     * may be read before the name that bears it out: the others wait. */
    void judge_records()
    {
        for (auto one = claims.begin(); one != claims.end();)
        {
            auto& [model, claim] = *one;
            if (plausible(claim.record, newest_corroborated(model)))
            {
                believe(claim);
                one = claims.erase(one);
                continue;
            }
            if (!std::exchange(claim.refused, true))
                log::warning(
                    "version_record_absurd",
                    {{"model", model},
                     {"newest", std::to_string(claim.record.newest)},
                     {"known", std::to_string(newest_corroborated(model))}});
            ++one;
        }
    }

    void believe(const record_claim& claim)
    {
        const auto& record = claim.record;
        if (record.newest > 0)
            targets.try_emplace({record.model, record.newest}, claim.learnt);
        kept[record.model] = record.newest;
        auto& least = bound[record.model];
        least = std::max(least, record.minimum);
        log::state("version_record_read",
                   {{"model", record.model},
                    {"newest", std::to_string(record.newest)},
                    {"binding", std::to_string(record.minimum)}});
    }

    void vouch(const std::string& model, std::uint64_t version)
    {
        auto& newest_vouched = vouched_for.try_emplace(model, 1).first->second;
        newest_vouched = std::max(newest_vouched, version);
    }

    static void unreadable(const std::string& key, const mirrored_value& value,
                           const std::string& why)
    {
        log::warning("item_unreadable", {{"key", key},
                                         {"revision", value.position().text()},
                                         {"why", why}});
    }

    std::shared_ptr<const installation> current;
    std::map<instance_id, upstream_record> records;
    /*! @brief The latest life of each id; ids are kept as the mirror keeps the
     * marks of removed keys. */
    std::map<instance_id, known_life> lives;
    std::size_t refused{0};
    std::map<std::pair<std::string, std::uint64_t>, time_point> targets;
    /*! @brief Those that no name or record of the store told first. */
    std::set<std::pair<std::string, std::uint64_t>> only_told;
    std::set<std::string> absurd; /*!< Models of which that was told. */
    std::map<std::string, std::uint64_t> bound;
    std::map<std::string, std::uint64_t> named; /*!< By the store's names. */
    std::map<std::string, std::uint64_t> kept;  /*!< By its records. */
    /*! @brief The newest that anything but a record told. */
    std::map<std::string, std::uint64_t> vouched_for;
    std::map<std::string, record_claim> claims; /*!< Not believed yet. */
    bool repeated{false}; /*!< A name was written anew without rising. */
};

} // namespace coursejunction

#endif
