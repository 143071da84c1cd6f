/*! @file
 * @brief The minimum version of each model's weights that may begin requests.
 */
#ifndef COURSEJUNCTION_ROUTE_VERSION_FLOOR_HPP
#define COURSEJUNCTION_ROUTE_VERSION_FLOOR_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Published versions by model, with the time from which each is
 * enforced as the minimum. Each version is enforced at its own time, whatever
 * is published after it. */
class version_floor
{
public:
    /*! @brief Adds a published version.
     * @param published When the first process learnt of it.
     * @param grace How long older weights may still begin requests. */
    void add_published(const std::string& model, std::uint64_t version,
                       time_point published, milliseconds grace)
    {
        auto& list = published_versions[model];
        const auto found = std::find_if(list.begin(), list.end(),
                                        [&](const auto& one)
                                        { return one.version == version; });
        if (found == list.end())
            list.push_back({version, published + grace, published + grace});
    }

    /*! @brief Adds the newest version that this process finds when it starts.
     * The version before it may be enforced by others already. As this process
     * can't know, it immediately enforces the version before, and the newest
     * after its grace. Without this, an entry that starts between two versions
     * published 2 s apart uses the oldest weights 2 s longer than the others.
     */
    void add_found_at_startup(const std::string& model, std::uint64_t version,
                              time_point published, milliseconds grace)
    {
        if (published_versions.count(model) == 0 && version > 2)
            published_versions[model].push_back(
                {version - 1, time_point{}, time_point::max()});
        add_published(model, version, published, grace);
        found_at_startup[model] = version;
    }

    /*! @brief Corrects the publish time of a version to a later one; a version
     * that is already enforced remains so.
     * @param published When the first process learnt of it. */
    void postpone(const std::string& model, std::uint64_t version,
                  time_point published, milliseconds grace, time_point now)
    {
        for (auto& one : published_versions[model])
        {
            if (one.version != version || now >= one.enforced_at)
                continue;
            one.enforced_at = std::max(one.enforced_at, published + grace);
            one.known_enforced_at =
                std::max(one.known_enforced_at, published + grace);
        }
    }

    /*! @brief Enforces a version now, whenever it was published: other
     * processes already do. */
    void enforce(const std::string& model, std::uint64_t version)
    {
        auto& list = published_versions[model];
        const auto found = std::find_if(list.begin(), list.end(),
                                        [&](const auto& one)
                                        { return one.version == version; });
        if (found == list.end())
            list.push_back({version, {}, {}});
        else
            found->enforced_at = found->known_enforced_at = time_point{};
    }

    /*! @brief Returns whether the publish time of a version is only the time at
     * which this process found it at its start. */
    [[nodiscard]] bool publish_time_unknown(const std::string& model,
                                            std::uint64_t version) const
    {
        const auto found = found_at_startup.find(model);
        return found != found_at_startup.end() && found->second == version;
    }

    /*! @brief Enforces a version found at startup that most upstreams serve: it
     * was published long ago. If all processes restart together, none knows
     * when that was, and an upstream left on older weights would be used again
     * for the whole time allowed after a publication. */
    void mark_widely_served(const std::string& model, std::uint64_t version)
    {
        if (!publish_time_unknown(model, version))
            return;
        found_at_startup.erase(model);
        for (auto& one : published_versions[model])
            if (one.version == version)
                one.enforced_at = time_point{};
    }

    /*! @brief Returns the minimum version that may begin a request. */
    [[nodiscard]] std::uint64_t minimum(const std::string& model,
                                        time_point now) const
    {
        return highest(model, [&](const published_version& one)
                       { return now >= one.enforced_at; });
    }

    /*! @brief Returns the minimum version by known publish times only, to
     * report to others: excludes what this process infers from its own start.
     */
    [[nodiscard]] std::uint64_t known_minimum(const std::string& model,
                                              time_point now) const
    {
        return highest(model, [&](const published_version& one)
                       { return now >= one.known_enforced_at; });
    }

    /*! @brief Returns when a version becomes too old to begin a request;
     * nothing while no newer one is published. */
    [[nodiscard]] std::optional<time_point>
    superseded_at(const std::string& model, std::uint64_t version) const
    {
        std::optional<time_point> first;
        const auto found = published_versions.find(model);
        if (found == published_versions.end())
            return first;
        for (const auto& one : found->second)
        {
            if (one.version > version && (!first || one.enforced_at < *first))
                first = one.enforced_at;
        }
        return first;
    }

    /*! @brief Returns the newest published version; 1 if there is none. */
    [[nodiscard]] std::uint64_t newest(const std::string& model) const
    {
        return highest(model, [](const published_version&) { return true; });
    }

private:
    struct published_version
    {
        std::uint64_t version{1};
        time_point enforced_at{};
        time_point known_enforced_at{}; /*!< Without inferred times. */
    };

    /*! @brief Returns the highest version for which a predicate holds; 1 if it
     * holds for none. */
    template <typename Condition>
    [[nodiscard]] std::uint64_t highest(const std::string& model,
                                        Condition holds) const
    {
        std::uint64_t version = 1;
        const auto found = published_versions.find(model);
        if (found == published_versions.end())
            return version;
        for (const auto& one : found->second)
        {
            if (holds(one))
                version = std::max(version, one.version);
        }
        return version;
    }

    std::map<std::string, std::vector<published_version>> published_versions;
    /*! @brief Versions found at startup, whose publish time is not known. */
    std::map<std::string, std::uint64_t> found_at_startup;
};

} // namespace coursejunction

#endif
