/*! @file
 * @brief Which of several published versions an upstream loads next; pure.
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

/*! @brief A version that is followed by a newer one within this time has hardly
 * begun to spread: the first chunk arrives after 0.4 s. */
inline constexpr milliseconds supersede_window{500};

/*! @brief Returns whether a version is skipped in favour of the newest one,
 * because both were published at nearly the same time. A version
 * is enforced a fixed time after its publication: from then on no request may
 * begin on older weights. Fetching the older one would therefore only take
 * bandwidth from the one that is needed: a store that was unreachable
 * reports several versions together, and all but the last would cost a copy
 * from the origin each. All sidecars know the same publish times and therefore
 * skip the same versions.
 * @param published When the version was published.
 * @param newer_published When the newest one was published. */
[[nodiscard]] inline bool superseded(time_point published,
                                     time_point newer_published)
{
    return newer_published - published < supersede_window;
}

/*! @brief What must still be fetched from the origin before upstreams can load
 * a version. */
struct remaining_download
{
    std::size_t missing_chunks{0}; /*!< No sidecar is known to have them. */
    /*! @brief Transfer time of one chunk on the origin's link. */
    std::chrono::microseconds origin_chunk_time{0};
};

/*! @brief Time from the arrival of the last chunk from the origin until half of
 * the upstreams serve a version: the chunk spreads, staged chunks are verified,
 * the load command is sent and the weights are loaded. */
inline constexpr milliseconds spread_and_load_time{900};

/*! @brief Returns whether a version can't be loaded before the newer one takes
 * all requests. Its chunks would then only take the origin's bandwidth from the
 * newer one.
 * @param retired_at When requests begin to go to the newer version only. */
[[nodiscard]] inline bool too_late_to_serve(const remaining_download& remaining,
                                            time_point now,
                                            time_point retired_at)
{
    const auto count =
        static_cast<std::chrono::microseconds::rep>(remaining.missing_chunks);
    return now + remaining.origin_chunk_time * count + spread_and_load_time >=
           retired_at;
}

/*! @brief A version that is being transferred to an instance. */
struct candidate_version
{
    std::uint64_t version{0};
    bool complete{false}; /*!< All chunks have arrived. */
    bool stalled{false};  /*!< No chunk for `chunk_transfer_options::still`. */
};

/*! @brief Returns the version to stage and load next.
 *
 * This is the newest one once it is complete. Until then it is the oldest one
 * that is newer than the served one and complete or not stalled, since it will
 * be complete soonest and each version is enforced at its own time. An upstream
 * stages one version only, and staging another one discards the chunks of the
 * first. Therefore a stalled version is given up only for one that makes
 * progress. If all are stalled, it is the staged one if still a candidate, or
 * else the newest.
 * @param candidates In rising order, at least one.
 * @param served The version that the upstream serves.
 * @param staged The version that owns the staging area, or 0. */
[[nodiscard]] inline std::uint64_t
select_next_version(const std::vector<candidate_version>& candidates,
                    std::uint64_t served, std::uint64_t staged)
{
    const auto& newest = candidates.back();
    if (newest.complete)
        return newest.version;
    for (const auto& candidate : candidates)
    {
        if (candidate.version > served &&
            (candidate.complete || !candidate.stalled))
            return candidate.version;
    }
    // All are stalled: the staged chunks are kept.
    for (const auto& candidate : candidates)
    {
        if (candidate.version > served && candidate.version == staged)
            return candidate.version;
    }
    return newest.version;
}

} // namespace coursejunction

#endif
