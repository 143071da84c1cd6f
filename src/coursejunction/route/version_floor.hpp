/*! @file
 * @brief From when on older weights of a model may no longer be used.
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

/*! @brief Versions by model with the time from which each must be used. A
 * version that is named binds on its own, whatever is named after it. */
class version_floor
{
public:
    /*! @brief Notes a version that is to be served.
     * @param known When the first process learnt of it.
     * @param allowed How long older weights may still begin requests. */
    void add_published(const std::string& model, std::uint64_t version,
                       time_point known, milliseconds allowed)
    {
        auto& list = targets[model];
        const auto found = std::find_if(list.begin(), list.end(),
                                        [&](const auto& one)
                                        { return one.version == version; });
        if (found == list.end())
            list.push_back({version, known + allowed, known + allowed});
    }

    /*! @brief Notes the newest version as a process finds it at its start. One
     * named before it may bind sooner, and nobody tells when: what is older
     * than that one begins nothing here any more. Without this, an entry that
     * starts between two versions 2 s apart uses the oldest weights for 2 s
     * longer than the others. */
    void add_found_at_startup(const std::string& model, std::uint64_t version,
                              time_point known, milliseconds allowed)
    {
        if (targets.count(model) == 0 && version > 2)
            targets[model].push_back(
                {version - 1, time_point{}, time_point::max()});
        add_published(model, version, known, allowed);
        unsure[model] = version;
    }

    /*! @brief Notes that a version was named later than was believed; one that
     * binds already goes on to.
     * @param known When it was. */
    void postpone(const std::string& model, std::uint64_t version,
                  time_point known, milliseconds allowed, time_point now)
    {
        for (auto& one : targets[model])
        {
            if (one.version != version || now >= one.binds_at)
                continue;
            one.binds_at = std::max(one.binds_at, known + allowed);
            one.known_to_bind_at =
                std::max(one.known_to_bind_at, known + allowed);
        }
    }

    /*! @brief Notes a version that is known to bind, whenever it was named. */
    void enforce(const std::string& model, std::uint64_t version)
    {
        auto& list = targets[model];
        const auto found = std::find_if(list.begin(), list.end(),
                                        [&](const auto& one)
                                        { return one.version == version; });
        if (found == list.end())
            list.push_back({version, {}, {}});
        else
            found->binds_at = found->known_to_bind_at = time_point{};
    }

    /*! @brief Tells whether the time of a version is only that of its finding
     * at the start of this process. */
    [[nodiscard]] bool publish_time_unknown(const std::string& model,
                                            std::uint64_t version) const
    {
        const auto found = unsure.find(model);
        return found != unsure.end() && found->second == version;
    }

    /*! @brief Most upstreams serve a version that was only found: it was named
     * long ago, and binds now. Where all processes end together nobody else
     * knows when it was named, and an upstream that was left on older weights
     * would be used again for as long as after a naming. */
    void mark_widely_served(const std::string& model, std::uint64_t version)
    {
        if (!publish_time_unknown(model, version))
            return;
        unsure.erase(model);
        for (auto& one : targets[model])
            if (one.version == version)
                one.binds_at = time_point{};
    }

    /*! @brief Returns the least version that may begin a request. */
    [[nodiscard]] std::uint64_t minimum(const std::string& model,
                                        time_point now) const
    {
        return highest(model,
                       [&](const target& one) { return now >= one.binds_at; });
    }

    /*! @brief Returns the least version that may begin a request by what is
     * known of the times of naming: what this process only infers from its
     * own start is left out, so that others may go by it. */
    [[nodiscard]] std::uint64_t known_minimum(const std::string& model,
                                              time_point now) const
    {
        return highest(model, [&](const target& one)
                       { return now >= one.known_to_bind_at; });
    }

    /*! @brief Returns when a version becomes too old to begin a request;
     * nothing while no newer one is named. */
    [[nodiscard]] std::optional<time_point>
    superseded_at(const std::string& model, std::uint64_t version) const
    {
        std::optional<time_point> first;
        const auto found = targets.find(model);
        if (found == targets.end())
            return first;
        for (const auto& one : found->second)
        {
            if (one.version > version && (!first || one.binds_at < *first))
                first = one.binds_at;
        }
        return first;
    }

    /*! @brief Returns the newest version that was named, 1 when none was. */
    [[nodiscard]] std::uint64_t newest(const std::string& model) const
    {
        return highest(model, [](const target&) { return true; });
    }

private:
    struct target
    {
        std::uint64_t version{1};
        time_point binds_at{};
        time_point known_to_bind_at{}; /*!< Without what is only inferred. */
    };

    /*! @brief Returns the highest version that a condition holds for; 1 when
     * it holds for none. */
    template <typename Condition>
    [[nodiscard]] std::uint64_t highest(const std::string& model,
                                        Condition holds) const
    {
        std::uint64_t version = 1;
        const auto found = targets.find(model);
        if (found == targets.end())
            return version;
        for (const auto& one : found->second)
        {
            if (holds(one))
                version = std::max(version, one.version);
        }
        return version;
    }

    std::map<std::string, std::vector<target>> targets;
    /*! @brief Versions of which it is not known when they were named. */
    std::map<std::string, std::uint64_t> unsure;
};

} // namespace coursejunction

#endif
