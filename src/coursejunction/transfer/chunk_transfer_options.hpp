/*! @file
 * @brief Timeouts, delays and limits of a transfer.
 */
#ifndef COURSEJUNCTION_TRANSFER_CHUNK_TRANSFER_OPTIONS_HPP
#define COURSEJUNCTION_TRANSFER_CHUNK_TRANSFER_OPTIONS_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Timeouts, delays and limits of a transfer. */
struct chunk_transfer_options
{
    /*! @brief Maximum number of open calls to holders: chunks that arrive
     * together delay the requests that arrive on the same link. */
    std::size_t max_holder_calls{4};
    /*! @brief Timeout of a call to a peer; a chunk of 32 KiB takes 35 ms on an
     * idle link of 7.6 Mbit/s and ten times that on a shared one. */
    milliseconds peer_timeout{2500};
    /*! @brief Timeout of connecting to a peer: its link may be full of chunks,
     * of which four at the same time take 140 ms. */
    milliseconds connect_timeout{1500};
    /*! @brief How long this instance keeps a call of a peer open for a chunk
     * that it does not hold. */
    milliseconds max_peer_wait{1500};
    /*! @brief Longest gap in the response of a peer that is asked for a
     * manifest; the first bytes wait behind four chunks at most, 140 ms. */
    milliseconds manifest_stall_timeout{400};
    /*! @brief Delay before an ancestor in the tree is asked again: it has the
     * manifest after one call to the origin, 20 to 50 ms after the version is
     * published. */
    milliseconds tree_retry_delay{40};
    /*! @brief Calls to the same sidecar before the next one up the tree is
     * asked. */
    std::size_t calls_per_source{3};
    /*! @brief Calls to ancestors in the tree before the origin may be asked. */
    std::size_t max_tree_calls{8};
    /*! @brief Mean delay before the manifest is requested again. */
    milliseconds manifest_retry_delay{250};
    /*! @brief Mean time between two calls to the origin by all sidecars that
     * cannot get the manifest from others; a manifest takes 4 ms on the link
     * of the origin, 9.9 Mbit/s, which chunks share. */
    milliseconds origin_call_interval{10};
    /*! @brief Chunks staged at or read from the upstream at the same time. */
    std::size_t max_engine_calls{4};
    /*! @brief After this many corrupt copies of a chunk, the manifest is
     * considered wrong. */
    std::size_t max_corrupt{3};
    milliseconds planning_interval{20};
    /*! @brief Maximum backoff after failed calls to the origin; upstreams whose
     * weights are too old serve nothing until it is back. */
    milliseconds max_origin_backoff{400};
    /*! @brief A chunk that its only holder in the hall has had for this long is
     * requested by stand-ins; on a link with its full rate it reaches others
     * after 0.3 s. */
    milliseconds single_copy_delay{1000};
    /*! @brief Minimum time without a copy of a chunk in the hall until
     * stand-ins ask the origin for it. */
    milliseconds first_copy_delay{2300};
    /*! @brief The same as a multiple of the time that the link of the origin
     * takes to send the whole version once: while the origin still sends, a
     * second call only shares its rate. */
    double first_copy_factor{1.35};
    /*! @brief A chunk whose call takes this long indicates a narrow link: the
     * longest queue of a sender with its full rate takes 0.5 s. */
    milliseconds slow_chunk_time{800};
    /*! @brief A transfer that receives no chunk for this long counts as
     * stalled; on idle links one arrives every 50 ms. */
    milliseconds stall_time{700};
};

/*! @brief Returns how long a hall may be without a copy of a chunk until
 * stand-ins ask the origin for it.
 * @param bytes Size of the whole version.
 * @param origin_rate Rate of the link of the origin; zero if unknown. */
[[nodiscard]] inline milliseconds
first_copy_delay(const chunk_transfer_options& options, std::uint64_t bytes,
                 byte_rate origin_rate)
{
    if (origin_rate <= 0)
        return options.first_copy_delay;
    const auto scaled_copy_time = from_seconds(
        static_cast<double>(bytes) / origin_rate * options.first_copy_factor);
    return std::max(options.first_copy_delay,
                    std::chrono::duration_cast<milliseconds>(scaled_copy_time));
}

} // namespace coursejunction

#endif
