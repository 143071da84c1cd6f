/*! @file
 * @brief Times and numbers of a transfer on an installation.
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

/*! @brief Times and numbers of a transfer. */
struct chunk_transfer_options
{
    /*! @brief Chunks asked of holders at once: what arrives together holds up
     * the requests that arrive on the same link. */
    std::size_t max_holder_calls{4};
    /*! @brief Longest call of a peer; a chunk of 32 KiB takes 35 ms alone on a
     * link of 7.6 Mbit/s and ten times that on a shared one. */
    milliseconds peer_timeout{2500};
    /*! @brief Longest opening of a connection to a peer: its link may be full
     * of chunks, of which four at once take 140 ms. */
    milliseconds connect_timeout{1500};
    /*! @brief How long a peer may hold a call for a chunk it does not have. */
    milliseconds max_peer_wait{1500};
    /*! @brief Longest silence of a peer that is asked for a manifest; the first
     * part waits behind four chunks at most, 140 ms. */
    milliseconds manifest_stall_timeout{400};
    /*! @brief Pause before a side before this one is asked again: it has the
     * manifest one call of the origin, 20 to 50 ms, after its naming. */
    milliseconds tree_retry_delay{40};
    /*! @brief Calls of the same side before the next one up is asked. */
    std::size_t calls_per_source{3};
    /*! @brief Calls of sides before the origin may be asked. */
    std::size_t max_tree_calls{8};
    /*! @brief Mean pause before the manifest is asked again. */
    milliseconds manifest_retry_delay{250};
    /*! @brief Mean time between two calls of the origin by all sides that
     * cannot get the manifest from others; it takes 4 ms on the origin's link
     * of 9.9 Mbit/s, which chunks share. */
    milliseconds origin_call_interval{10};
    /*! @brief Chunks put to or read from the upstream at once. */
    std::size_t max_engine_calls{4};
    /*! @brief Times that a chunk may come wrong before the manifest is taken to
     * be the wrong one. */
    std::size_t max_corrupt{3};
    milliseconds planning_interval{20};
    /*! @brief Longest pause after failed calls of the origin; upstreams whose
     * weights are too old serve nothing until it is back. */
    milliseconds max_origin_backoff{400};
    /*! @brief A chunk that its only holder in the hall has had for this long is
     * asked of stand-ins; with a whole link it is with others after 0.3 s. */
    milliseconds single_copy_delay{1000};
    /*! @brief Least time without a copy of a chunk in the hall until stand-ins
     * ask the origin for it. */
    milliseconds first_copy_delay{2300};
    /*! @brief The same in times that the origin's link takes for the whole
     * version: while it gives, a second call only takes from its rate. */
    double first_copy_factor{1.35};
    /*! @brief A chunk that takes this long from its call shows a narrow link:
     * the longest queue of a sender with a whole link is 0.5 s. */
    milliseconds slow_chunk_time{800};
    /*! @brief Without a chunk for this long, a transfer stands still; at rest
     * one comes every 50 ms. */
    milliseconds stall_time{700};
};

/*! @brief Returns how long a hall may be without a copy of a chunk until
 * stand-ins ask the origin for it.
 * @param bytes Of the whole version.
 * @param origin_rate Of the origin's link; zero when it is not known. */
[[nodiscard]] inline milliseconds
first_copy_delay(const chunk_transfer_options& options, std::uint64_t bytes,
                 byte_rate origin_rate)
{
    if (origin_rate <= 0)
        return options.first_copy_delay;
    const auto copy = from_seconds(static_cast<double>(bytes) / origin_rate *
                                   options.first_copy_factor);
    return std::max(options.first_copy_delay,
                    std::chrono::duration_cast<milliseconds>(copy));
}

} // namespace coursejunction

#endif
