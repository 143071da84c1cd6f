/*! @file
 * @brief Snapshot of a sidecar's state for the state dump.
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

/*! @brief Progress of one version on its way to an upstream. */
struct version_progress
{
    std::uint64_t version{0};
    std::size_t chunk_count{0}; /*!< In the manifest; 0 until it is known. */
    std::size_t held_chunks{0}; /*!< Received and verified. */
    /*! @brief Written to the upstream's staging area. */
    std::size_t staged_chunks{0};
};

/*! @brief State of a sidecar at one moment. */
struct agent_state
{
    /*! @brief Last report; empty before the first. */
    std::optional<engine_report> upstream;
    bool reachable{false}; /*!< The last report could be read. */
    bool closing{false};   /*!< Closed to requests in order to load. */
    bool open{false};      /*!< Announced to entries as open to requests. */
    std::uint64_t ordered_version{0}; /*!< Last closed for; 0: none. */
    std::uint64_t staged_version{0};  /*!< Owns the staging area; 0: none. */
    std::size_t uploads_waiting{0};
    std::vector<version_progress> versions;
};

} // namespace coursejunction

#endif
