/*! @file
 * @brief What processes tell each other of requests that crash upstreams.
 */
#ifndef COURSEJUNCTION_WIRE_CRASH_RECORD_HPP
#define COURSEJUNCTION_WIRE_CRASH_RECORD_HPP

#include <cstdint>
#include <vector>

#include "coursejunction/core/request_content.hpp"

namespace coursejunction::message
{

/*! @brief A request under which upstreams ended, as one process knows it. */
struct crash_record
{
    request_content content;
    std::vector<std::uint64_t> crashes; /*!< Ids of the ends. */
    std::vector<std::uint64_t> cleared; /*!< Those that no longer count. */
    std::uint32_t age_ms{0};            /*!< Since the last end. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(content, crashes, cleared, age_ms);
    }
};

} // namespace coursejunction::message

#endif
