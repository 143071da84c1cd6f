/*! @file
 * @brief Which of several named versions an upstream is brought to next; pure.
 */
#ifndef COURSEJUNCTION_ROLLOUT_VERSION_ORDER_HPP
#define COURSEJUNCTION_ROLLOUT_VERSION_ORDER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A version for which a newer one was named within this time has hardly
 * begun to spread: the first chunk comes after 0.4 s. */
inline constexpr milliseconds overtaken_time{500};

/*! @brief Tells whether a version is passed over for a newer one. Both have the
 * same time until they bind, so that fetching the older one first takes the
 * links from the only one that will be needed: a store that was away tells of
 * several versions at once, of which all but the last would cost a copy from
 * the origin each. Sides know alike
 * when versions were named, so that all of them pass over the same ones.
 * @param named When the version was named.
 * @param newer_named When the newest one was. */
[[nodiscard]] inline bool overtaken(time_point named, time_point newer_named)
{
    return newer_named - named < overtaken_time;
}

/*! @brief What a version still needs before upstreams can serve it. */
struct remaining_download
{
    std::size_t missing_chunks{0}; /*!< No side is known to have them. */
    std::chrono::microseconds origin_chunk_time{
        0}; /*!< One on the origin's link. */
};

/*! @brief From the last chunk's arrival until half of the upstreams serve a
 * version: it spreads, is read back, ordered and loaded. */
inline constexpr milliseconds serving_time{900};

/*! @brief Tells whether a version comes too late to be served at all: a newer
 * one takes all requests before upstreams have loaded it. What its chunks take
 * from the origin's link is then taken from the newer one.
 * @param used_until When requests go to the newer version only. */
[[nodiscard]] inline bool comes_too_late(const remaining_download& needs,
                                         time_point now, time_point used_until)
{
    const auto count =
        static_cast<std::chrono::microseconds::rep>(needs.missing_chunks);
    return now + needs.origin_chunk_time * count + serving_time >= used_until;
}

/*! @brief A version that is on its way to an instance. */
struct coming_version
{
    std::uint64_t version{0};
    bool complete{false};     /*!< Every chunk is here. */
    bool stands_still{false}; /*!< Nothing came for long. */
};

/*! @brief Returns the version to stage and load next.
 *
 * The newest once it is whole; until then the oldest that is newer than what is
 * served and still comes, since it is whole soonest and each version binds on
 * its own. Only one version can lie staged at an upstream: staging another one
 * gives up what was staged before, so a version that stands still is left only
 * for one that comes.
 * @param coming Versions in rising order, at least one.
 * @param serves What the upstream serves.
 * @param staged The version that holds the staging area, or 0. */
[[nodiscard]] inline std::uint64_t
next_version(const std::vector<coming_version>& coming, std::uint64_t serves,
             std::uint64_t staged)
{
    const auto& newest = coming.back();
    if (newest.complete)
        return newest.version;
    for (const auto& one : coming)
    {
        if (one.version > serves && (one.complete || !one.stands_still))
            return one.version;
    }
    // Everything stands still: what is staged is not given up for nothing.
    for (const auto& one : coming)
    {
        if (one.version > serves && one.version == staged)
            return one.version;
    }
    return newest.version;
}

} // namespace coursejunction

#endif
