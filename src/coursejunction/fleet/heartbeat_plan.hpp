/*! @file
 * @brief Decides which peers hear a heartbeat; pure. Bytes between regions are
 * few and dear, and what all told all would grow with the square of the fleet.
 */
#ifndef COURSEJUNCTION_FLEET_HEARTBEAT_PLAN_HPP
#define COURSEJUNCTION_FLEET_HEARTBEAT_PLAN_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coursejunction
{

/*! @brief Why a heartbeat is sent. */
enum class heartbeat_reason : std::uint8_t
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
[[nodiscard]] constexpr std::string_view reason_name(heartbeat_reason reason)
{
    switch (reason)
    {
    case heartbeat_reason::regular:
        return "regular";
    case heartbeat_reason::load:
        return "load";
    case heartbeat_reason::state:
        return "state";
    case heartbeat_reason::mirror:
        return "mirror";
    case heartbeat_reason::fetch:
        return "fetch";
    case heartbeat_reason::chunks:
        return "chunks";
    case heartbeat_reason::digest:
        return "digest";
    case heartbeat_reason::behind:
        return "behind";
    case heartbeat_reason::crash:
        return "crash";
    case heartbeat_reason::refusals:
        return "refusals";
    }
    return "unknown";
}

/*! @brief A heartbeat that is about to be sent. */
struct heartbeat_context
{
    heartbeat_reason reason{heartbeat_reason::regular};
    std::uint64_t regular_number{0}; /*!< Of the regular heartbeat. */
    bool from_entry{false};          /*!< An entry sends it. */
    bool from_store{false}; /*!< The mirror advanced by the store itself. */
    bool transfers_active{false}; /*!< Weights are on their way to some side. */
    bool relayed_by_entries{false}; /*!< Entries of the hall tell those of
                              others what its sides tell. */
    std::size_t hall_sides{0};      /*!< Sides of the sender's hall. */
};

/*! @brief Which chunks a heartbeat tells. */
enum class chunk_detail : std::uint8_t
{
    none,
    in_transfer, /*!< Those of versions that are on their way. */
    all
};

/*! @brief A peer that may hear it. */
struct heartbeat_receiver
{
    bool entry{false};
    bool same_hall{false}; /*!< Of the sender's hall. */
    bool ring_neighbour{
        false}; /*!< A neighbour on the ring of the hall's sides. */
    bool gets_digest{false}; /*!< An entry to which this one passes on what the
                           sides of its hall tell. */
};

/*! @brief Sides of a hall that all hear each other regularly; in a larger hall
 * only neighbours do. 32 heartbeats of 200 bytes five times a second are a
 * thirtieth of a link of 7.6 Mbit/s. */
inline constexpr std::size_t full_mesh_limit = 32;

/*! @brief Entries of other halls hear each this many heartbeats of an entry,
 * and of a side whose hall has no live entry: 400 ms, and they believe a load,
 * and that a peer lives, for 1 s. */
inline constexpr std::uint64_t remote_entry_period = 2;

/*! @brief Sides of other halls hear each this many while weights spread: 800
 * ms, and a transfer takes one for silent after 1.5 s. */
inline constexpr std::uint64_t remote_side_period = 4;

/*! @brief Sides of the own hall hear each this many: 400 ms, and they believe a
 * peer to live for 1 s. */
inline constexpr std::uint64_t local_side_period = 2;

/*! @brief Each this many regular heartbeats names the known entries and all
 * chunks that are held; the others, while weights spread, only the chunks of
 * versions that are on their way. */
inline constexpr std::uint64_t full_report_period = 4;

/*! @brief Returns what a heartbeat tells of chunks. */
[[nodiscard]] inline chunk_detail
chunk_detail_for(const heartbeat_context& context)
{
    if (context.reason == heartbeat_reason::chunks)
        return chunk_detail::in_transfer;
    if (context.reason != heartbeat_reason::regular)
        return chunk_detail::none;
    return context.regular_number % full_report_period == 0
               ? chunk_detail::all
               : chunk_detail::in_transfer;
}

/*! @brief Tells whether a heartbeat carries records of requests that crash
 * upstreams: those that all entries hear sooner or later. */
[[nodiscard]] constexpr bool carries_crash_records(heartbeat_reason reason)
{
    return reason == heartbeat_reason::crash ||
           reason == heartbeat_reason::regular;
}

/*! @brief Tells whether a peer hears a heartbeat. */
[[nodiscard]] inline bool receives(const heartbeat_context& context,
                                   const heartbeat_receiver& to)
{
    switch (context.reason)
    {
    case heartbeat_reason::load:
    case heartbeat_reason::refusals:
        return to.entry && to.same_hall;
    case heartbeat_reason::state:
        return to.entry || to.same_hall;
    case heartbeat_reason::mirror:
        // Each entry tells its own hall; the entries that hear the store
        // itself tell all others.
        return context.from_entry &&
               (to.same_hall || (context.from_store && to.entry));
    case heartbeat_reason::fetch:
        return to.same_hall;
    case heartbeat_reason::crash:
        return to.entry;
    case heartbeat_reason::chunks:
        return !to.entry && to.same_hall && to.ring_neighbour;
    case heartbeat_reason::digest:
    case heartbeat_reason::behind:
        return false;
    case heartbeat_reason::regular:
        break;
    }
    if (to.entry)
        return to.same_hall || to.gets_digest ||
               (!context.relayed_by_entries &&
                context.regular_number % remote_entry_period == 0);
    if (to.same_hall)
        return context.from_entry ||
               (context.regular_number % local_side_period == 0 &&
                (to.ring_neighbour || context.hall_sides <= full_mesh_limit));
    return !context.from_entry && context.transfers_active &&
           context.regular_number % remote_side_period == 0;
}

/*! @brief Returns whether a member of a ring is a neighbour of another: those
 * at distances 1, 2, 4 ... and 3, 6, 12 ..., so that each has as many, and
 * news reach everybody in few steps.
 * @param from Place of the sender, of `size`. */
[[nodiscard]] inline bool is_ring_neighbour(std::size_t from, std::size_t to,
                                            std::size_t size)
{
    if (from == to || from >= size || to >= size)
        return false;
    const auto distance = (to + size - from) % size;
    const auto is_power_of_two = [](std::size_t value)
    { return (value & (value - 1)) == 0; };
    return is_power_of_two(distance) ||
           (distance % 3 == 0 && is_power_of_two(distance / 3));
}

} // namespace coursejunction

#endif
