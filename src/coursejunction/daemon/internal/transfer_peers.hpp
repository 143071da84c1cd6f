/*! @file
 * @brief Which peers an instance turns to in a transfer; pure.
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

/*! @brief Picks whom to ask for the manifest: the first rank asks the origin,
 * the first of each hall asks that one, everybody else asks their hall's
 * first.
 * @param turn How many ranks have been tried in vain; later ones stand in.
 * @return The peer, or nothing when the origin is to be asked. */
[[nodiscard]] std::optional<instance_id>
manifest_source(const digest& version, const std::vector<participant>& all,
                const instance_id& own, const hall_id& own_hall,
                std::size_t turn);

/*! @brief Picks half of the neighbours, all of the own hall; about as many
 * pick this instance.
 * @param wanted How many neighbours an instance is to have. */
[[nodiscard]] std::vector<instance_id>
chosen_neighbours(const digest& version, const std::vector<participant>& all,
                  const instance_id& own, const hall_id& own_hall,
                  std::size_t wanted);

} // namespace coursejunction::internal

#endif
