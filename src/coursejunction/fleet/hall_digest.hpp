/*! @file
 * @brief How entries pass the statuses of their hall's sides on to entries of
 * other halls; pure. Told by each side to each entry, they would grow with
 * entries times sides: 53 entries and 204 sides sent 34 Mbit/s of them between
 * regions, which have 27 Mbit/s each way for everything.
 */
#ifndef COURSEJUNCTION_FLEET_HALL_DIGEST_HPP
#define COURSEJUNCTION_FLEET_HALL_DIGEST_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/node_address.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Statuses in one datagram; 14 of them take 1.4 KB, which a packet of
 * 1.5 KB carries. */
inline constexpr std::size_t digest_part = 14;

/*! @brief Where an entry stands among the live entries of its hall. */
struct digest_place
{
    std::size_t rank{0};
    std::size_t entries{1}; /*!< This one included. */
};

/*! @brief Returns an entry's place.
 * @param address Of the entry. */
[[nodiscard]] inline digest_place
digest_place_of(const peer_directory& peers, const std::string& address,
                const hall_id& hall, time_point now)
{
    digest_place made;
    for (const auto& [other, one] : peers.all())
    {
        if (!one.entry || one.last.hall != hall.value() || one.last.leaving ||
            !peer_directory::alive(one, now))
            continue;
        ++made.entries;
        made.rank += other < address ? 1 : 0;
    }
    return made;
}

/*! @brief Tells whether an entry passes its hall's statuses on to an entry of
 * another hall with a heartbeat. Two entries do so by turns, at each second
 * heartbeat: when one of them is gone the other one goes on.
 * @param number Of the regular heartbeat. */
[[nodiscard]] inline bool passes_digest(const digest_place& own,
                                        const std::string& receiver,
                                        std::uint64_t number)
{
    const auto first = std::hash<std::string>()(receiver);
    const auto turn = own.entries > 1 ? number % 2 : 0;
    return (first + turn) % own.entries == own.rank;
}

/*! @brief Returns the statuses of the live sides of a hall, in parts that fit
 * into a datagram each; none where no side is heard. */
[[nodiscard]] inline std::vector<std::vector<message::passed_status>>
digest_parts(const peer_directory& peers, const hall_id& hall, time_point now)
{
    std::vector<std::vector<message::passed_status>> parts;
    for (const auto& [address, one] : peers.all())
    {
        const auto number = address_number(address);
        if (one.entry || one.last.hall != hall.value() || !number ||
            !peer_directory::alive(one, now))
            continue;
        if (parts.empty() || parts.back().size() == digest_part)
            parts.emplace_back();
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - one.heard);
        parts.back().push_back({*number,
                                static_cast<std::uint32_t>(age.count()),
                                one.last.upstream});
    }
    return parts;
}

} // namespace coursejunction

#endif
