/*! @file
 * @brief Decides which peers receive a heartbeat; pure. Bandwidth between
 * regions is scarce, and the traffic of all-to-all heartbeats would grow with
 * the square of the fleet.
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
    regular, /*!< The heartbeat interval has passed. */
    load,    /*!< The load of an upstream changed. */
    state,   /*!< An upstream opened, closed or was lost, or this process is
                leaving. */
    mirror,  /*!< The mirror of the store advanced. */
    fetch,   /*!< This process began to fetch for its hall. */
    chunks,  /*!< Chunks of weights arrived. */
    digest,  /*!< An entry relays the statuses of its hall's sidecars. */
    behind,  /*!< The receiver's mirror lags behind. */
    crash,   /*!< Upstreams crashed under a request of this entry. */
    refusals /*!< This entry refused callers. */
};

/*! @brief Returns the value of a reason in the label `why` of metrics. */
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
    std::uint64_t regular_number{0}; /*!< Count of regular heartbeats so far. */
    bool from_entry{false};          /*!< The sender is an entry. */
    bool from_store{false}; /*!< The mirror advanced by a read of the store, not
                               by a pull from a peer. */
    bool transfers_active{false}; /*!< Some sidecar is downloading weights. */
    /*! @brief The sender is a sidecar whose hall's entries relay its status to
     * entries of other halls. */
    bool relayed_by_entries{false};
    std::size_t hall_sides{0}; /*!< Sidecars of the sender's hall. */
};

/*! @brief Which chunks of weights a heartbeat lists. */
enum class chunk_detail : std::uint8_t
{
    none,
    in_transfer, /*!< Chunks of versions that are being downloaded. */
    all
};

/*! @brief A peer that may receive the heartbeat. */
struct heartbeat_receiver
{
    bool entry{false};
    bool same_hall{false}; /*!< In the same hall as the sender. */
    /*! @brief Neighbour on the ring of the hall's sidecars. */
    bool ring_neighbour{false};
    bool gets_digest{false}; /*!< Entry to which this entry relays the statuses
                                of its hall's sidecars. */
};

/*! @brief In a hall of at most this many sidecars, all of them exchange regular
 * heartbeats; in a larger one only ring neighbours do. Even if sent at every
 * interval, five times a second, 32 heartbeats of 200 bytes take only a
 * thirtieth of a 7.6 Mbit/s link. */
inline constexpr std::size_t full_mesh_limit = 32;

/*! @brief Entries of other halls receive one in this many regular heartbeats of
 * an entry, and of a sidecar whose hall has no live entry. That is one per 400
 * ms; a reported load and the liveness of a peer expire after 1 s. */
inline constexpr std::uint64_t remote_entry_period = 2;

/*! @brief Sidecars of other halls receive one in this many regular heartbeats
 * of a sidecar while weights are being downloaded. That is one per 800 ms; a
 * transfer treats a source as lost after 1.5 s of silence. */
inline constexpr std::uint64_t remote_side_period = 4;

/*! @brief Sidecars of the same hall receive one in this many regular heartbeats
 * of a sidecar. That is one per 400 ms; the liveness of a peer expires after 1
 * s. */
inline constexpr std::uint64_t local_side_period = 2;

/*! @brief One in this many regular heartbeats lists the known entries and all
 * chunks that the sender holds. The others list only chunks of versions that
 * are being downloaded. */
inline constexpr std::uint64_t full_report_period = 4;

/*! @brief Returns which chunks a heartbeat lists. */
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

/*! @brief Returns whether a heartbeat carries records of requests that crash
 * upstreams: the kinds that every entry receives sooner or later. */
[[nodiscard]] constexpr bool carries_crash_records(heartbeat_reason reason)
{
    return reason == heartbeat_reason::crash ||
           reason == heartbeat_reason::regular;
}

/*! @brief Returns whether a heartbeat carries changes of the store: upstreams
 * that departed and evacuations. One about the mirror is sent as soon as the
 * store reports the change; regular ones replace it where it is lost. */
[[nodiscard]] constexpr bool carries_store_changes(heartbeat_reason reason)
{
    return reason == heartbeat_reason::mirror ||
           reason == heartbeat_reason::regular;
}

/*! @brief Returns whether a peer receives a heartbeat. */
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
        // Each entry informs its own hall; the entries that read the store
        // inform the entries of all other halls.
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
        // `heartbeat_sender` selects the receivers of these.
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

/*! @brief Returns whether two members of a ring are neighbours: those at
 * distances 1, 2, 4 ... and 3, 6, 12 ... All members have the same number of
 * neighbours, and an update reaches all of them in few steps.
 * @param from Index of the sender, less than `size`. */
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
