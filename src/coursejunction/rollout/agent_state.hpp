/*! @file
 * @brief What a side believes of its upstream, for whoever asks.
 */
#ifndef COURSEJUNCTION_ROLLOUT_AGENT_STATE_HPP
#define COURSEJUNCTION_ROLLOUT_AGENT_STATE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "coursejunction/rollout/upstream_engine.hpp"

namespace coursejunction
{

/*! @brief How far a version is on its way to an upstream. */
struct version_progress
{
    std::uint64_t version{0};
    std::size_t chunk_count{
        0}; /*!< Of the manifest; 0 while that is missing. */
    std::size_t held_chunks{0};
    std::size_t staged_chunks{0}; /*!< Put to the upstream. */
};

/*! @brief A side at one moment. */
struct agent_state
{
    std::optional<engine_report> upstream; /*!< As it was last read. */
    bool reachable{false};
    bool closing{false};
    std::uint64_t ordered_version{0}; /*!< Of the last order; 0 for none. */
    std::uint64_t staged_version{0};  /*!< Holds the staging area; 0: none. */
    std::size_t uploads_waiting{0};
    std::vector<version_progress> versions;
};

} // namespace coursejunction

#endif
