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
    void name(const std::string& model, std::uint64_t version, time_point known,
              milliseconds allowed)
    {
        auto& list = targets[model];
        const auto found = std::find_if(list.begin(), list.end(),
                                        [&](const auto& one)
                                        { return one.version == version; });
        if (found == list.end())
            list.push_back({version, known + allowed});
    }

    /*! @brief Notes the newest version as a process finds it at its start. One
     * named before it may bind sooner, and nobody tells when: what is older
     * than that one begins nothing here any more. Without this, an entry that
     * starts between two versions 2 s apart uses the oldest weights for 2 s
     * longer than the others. */
    void found(const std::string& model, std::uint64_t version,
               time_point known, milliseconds allowed)
    {
        if (targets.count(model) == 0 && version > 2)
            targets[model].push_back({version - 1, time_point::min()});
        name(model, version, known, allowed);
    }

    /*! @brief Returns the least version that may begin a request. */
    [[nodiscard]] std::uint64_t least(const std::string& model,
                                      time_point now) const
    {
        std::uint64_t version = 1;
        const auto found = targets.find(model);
        if (found == targets.end())
            return version;
        for (const auto& one : found->second)
        {
            if (now >= one.binds_at)
                version = std::max(version, one.version);
        }
        return version;
    }

    /*! @brief Returns when a version becomes too old to begin a request;
     * nothing while no newer one is named. */
    [[nodiscard]] std::optional<time_point> ends(const std::string& model,
                                                 std::uint64_t version) const
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
        std::uint64_t version = 1;
        const auto found = targets.find(model);
        if (found == targets.end())
            return version;
        for (const auto& one : found->second)
            version = std::max(version, one.version);
        return version;
    }

private:
    struct target
    {
        std::uint64_t version{1};
        time_point binds_at{};
    };

    std::map<std::string, std::vector<target>> targets;
};

} // namespace coursejunction

#endif
