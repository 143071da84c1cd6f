/*! @file
 * @brief Chooses the peers of an instance in a transfer; pure.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_TRANSFER_PEERS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_TRANSFER_PEERS_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/transfer/source_policy.hpp"

namespace coursejunction::internal
{

/*! @brief Chooses the source of the manifest. The first-ranked instance asks
 * the origin, the first-ranked of each other hall asks that instance, and all
 * others ask the first-ranked of their hall.
 * @param failed_ranks Number of ranks that did not answer; the next one takes
 * their place.
 * @return The peer, or nothing if the origin is to be asked. */
[[nodiscard]] std::optional<instance_id>
manifest_source(const digest& version, const std::vector<participant>& all,
                const instance_id& own, const hall_id& own_hall,
                std::size_t failed_ranks);

/*! @brief Chooses half of an instance's neighbours, all in its own hall. About
 * as many others choose this instance, which makes up the other half.
 * @param wanted Number of neighbours that an instance is to have. */
[[nodiscard]] std::vector<instance_id>
chosen_neighbours(const digest& version, const std::vector<participant>& all,
                  const instance_id& own, const hall_id& own_hall,
                  std::size_t wanted);

} // namespace coursejunction::internal

#endif
