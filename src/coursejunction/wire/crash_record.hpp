/*! @file
 * @brief What processes tell each other of requests that crash upstreams.
 */
#ifndef COURSEJUNCTION_WIRE_CRASH_RECORD_HPP
#define COURSEJUNCTION_WIRE_CRASH_RECORD_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "coursejunction/core/request_content.hpp"

namespace coursejunction::message
{

/*! @brief The end of an upstream's life under a request. */
struct upstream_crash
{
    static constexpr std::size_t least_bytes = 9;
    std::uint64_t id{0};
    std::uint8_t evidence{0}; /*!< An `crash_evidence`. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(id, evidence);
    }
};

/*! @brief A request under which upstreams ended, as one process knows it. */
struct crash_record
{
    static constexpr std::size_t least_bytes = 28;
    request_content content;
    std::vector<upstream_crash> crashes;
    std::vector<std::uint64_t> cleared; /*!< Ends that no longer count. */
    std::uint32_t age_ms{0};            /*!< Since the last end. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(content, crashes, cleared, age_ms);
    }
};

/*! @brief A quarantine as the platform's store keeps it. */
struct stored_quarantine
{
    crash_record record;
    std::int64_t last_crash{0}; /*!< Unix time in milliseconds. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(record, last_crash);
    }
};

} // namespace coursejunction::message

#endif
