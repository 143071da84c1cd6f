/*! @file
 * @brief Decides which peers hear a heartbeat; pure. Bytes between regions are
 * few and dear, and what all told all would grow with the square of the fleet.
 */
#ifndef COURSEJUNCTION_FLEET_BEAT_PLAN_HPP
#define COURSEJUNCTION_FLEET_BEAT_PLAN_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coursejunction
{

/*! @brief Why a heartbeat is sent. */
enum class beat_reason : std::uint8_t
{
    regular, /*!< The interval is over. */
    load,    /*!< The load of an upstream changed. */
    state,   /*!< An upstream opened, closed or was lost, or we leave. */
    mirror,  /*!< The mirror of the store advanced. */
    fetch,   /*!< Begins to fetch for its hall. */
    chunks,  /*!< Chunks of weights arrived. */
    digest,  /*!< An entry passes on what the sides of its hall tell. */
    behind,  /*!< A side's mirror is behind. */
    crash,   /*!< Upstreams ended under a request of this entry. */
    refusals /*!< This entry sent callers away. */
};

/*! @brief Returns a reason's name for metrics. */
[[nodiscard]] constexpr std::string_view reason_name(beat_reason why)
{
    switch (why)
    {
    case beat_reason::regular:
        return "regular";
    case beat_reason::load:
        return "load";
    case beat_reason::state:
        return "state";
    case beat_reason::mirror:
        return "mirror";
    case beat_reason::fetch:
        return "fetch";
    case beat_reason::chunks:
        return "chunks";
    case beat_reason::digest:
        return "digest";
    case beat_reason::behind:
        return "behind";
    case beat_reason::crash:
        return "crash";
    case beat_reason::refusals:
        return "refusals";
    }
    return "unknown";
}

/*! @brief A heartbeat that is about to be sent. */
struct beat_moment
{
    beat_reason reason{beat_reason::regular};
    std::uint64_t number{0};   /*!< Of the regular heartbeat. */
    bool from_entry{false};    /*!< An entry sends it. */
    bool from_store{false};    /*!< The mirror advanced by the store itself. */
    bool spreading{false};     /*!< Weights are on their way to some side. */
    bool passed_on{false};     /*!< Entries of the hall tell those of others
                                  what its sides tell. */
    std::size_t hall_sides{0}; /*!< Sides of the sender's hall. */
};

/*! @brief Which chunks a heartbeat tells. */
enum class chunk_detail : std::uint8_t
{
    none,
    in_transfer, /*!< Those of versions that are on their way. */
    all
};

/*! @brief A peer that may hear it. */
struct beat_receiver
{
    bool entry{false};
    bool near{false};      /*!< Of the sender's hall. */
    bool neighbour{false}; /*!< A neighbour on the ring of the hall's sides. */
    bool digest{false};    /*!< An entry to which this one passes on what the
                              sides of its hall tell. */
};

/*! @brief Sides of a hall that all hear each other regularly; in a larger hall
 * only neighbours do. 32 heartbeats of 200 bytes five times a second are a
 * thirtieth of a link of 7.6 Mbit/s. */
inline constexpr std::size_t small_hall = 32;

/*! @brief Entries of other halls hear each this many heartbeats of an entry,
 * and of a side whose hall has no live entry: 400 ms, and they believe a load,
 * and that a peer lives, for 1 s. */
inline constexpr std::uint64_t far_entry_beat = 2;

/*! @brief Sides of other halls hear each this many while weights spread: 800
 * ms, and a transfer takes one for silent after 1.5 s. */
inline constexpr std::uint64_t far_side_beat = 4;

/*! @brief Sides of the own hall hear each this many: 400 ms, and they believe a
 * peer to live for 1 s. */
inline constexpr std::uint64_t near_side_beat = 2;

/*! @brief Each this many regular heartbeats names the known entries and all
 * chunks that are held; the others, while weights spread, only the chunks of
 * versions that are on their way. */
inline constexpr std::uint64_t naming_beat = 4;

/*! @brief Returns what a heartbeat tells of chunks. */
[[nodiscard]] inline chunk_detail chunks_told(const beat_moment& sent)
{
    if (sent.reason == beat_reason::chunks)
        return chunk_detail::in_transfer;
    if (sent.reason != beat_reason::regular)
        return chunk_detail::none;
    return sent.number % naming_beat == 0 ? chunk_detail::all
                                          : chunk_detail::in_transfer;
}

/*! @brief Tells whether a heartbeat carries records of requests that crash
 * upstreams: those that all entries hear sooner or later. */
[[nodiscard]] constexpr bool tells_crashes(beat_reason why)
{
    return why == beat_reason::crash || why == beat_reason::regular;
}

/*! @brief Tells whether a peer hears a heartbeat. */
[[nodiscard]] inline bool hears(const beat_moment& sent,
                                const beat_receiver& to)
{
    switch (sent.reason)
    {
    case beat_reason::load:
    case beat_reason::refusals:
        return to.entry && to.near;
    case beat_reason::state:
        return to.entry || to.near;
    case beat_reason::mirror:
        // Each entry tells its own hall; the entries that hear the store
        // itself tell all others.
        return sent.from_entry && (to.near || (sent.from_store && to.entry));
    case beat_reason::fetch:
        return to.near;
    case beat_reason::crash:
        return to.entry;
    case beat_reason::chunks:
        return !to.entry && to.near && to.neighbour;
    case beat_reason::digest:
    case beat_reason::behind:
        return false;
    case beat_reason::regular:
        break;
    }
    if (to.entry)
        return to.near || to.digest ||
               (!sent.passed_on && sent.number % far_entry_beat == 0);
    if (to.near)
        return sent.from_entry ||
               (sent.number % near_side_beat == 0 &&
                (to.neighbour || sent.hall_sides <= small_hall));
    return !sent.from_entry && sent.spreading &&
           sent.number % far_side_beat == 0;
}

/*! @brief Returns whether a member of a ring is a neighbour of another: those
 * at distances 1, 2, 4 ... and 3, 6, 12 ..., so that each has as many, and
 * news reach everybody in few steps.
 * @param from Place of the sender, of `size`. */
[[nodiscard]] inline bool ring_neighbour(std::size_t from, std::size_t to,
                                         std::size_t size)
{
    if (from == to || from >= size || to >= size)
        return false;
    const auto distance = (to + size - from) % size;
    const auto power = [](std::size_t value)
    { return (value & (value - 1)) == 0; };
    return power(distance) || (distance % 3 == 0 && power(distance / 3));
}

} // namespace coursejunction

#endif
