/*! @file
 * @brief Messages about requests that crash upstreams.
 */
#ifndef COURSEJUNCTION_WIRE_CRASH_RECORD_HPP
#define COURSEJUNCTION_WIRE_CRASH_RECORD_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "coursejunction/core/request_content.hpp"

namespace coursejunction::message
{

/*! @brief Crash of one incarnation of an upstream that was running a request.
 */
struct upstream_crash
{
    static constexpr std::size_t least_bytes = 9; /*!< Encoded size. */
    std::uint64_t id{0};                          /*!< A `crash_id`. */
    std::uint8_t evidence{0};                     /*!< A `crash_evidence`. */

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(id, evidence);
    }
};

/*! @brief What the crashes of a record are counted against. */
enum class crash_subject : std::uint8_t
{
    request,    /*!< One content of a request. */
    prompt_part /*!< A part of a prompt that requests share. */
};

/*! @brief Crashes of upstreams that ran one request, or requests with one part
 * of a prompt, as known to one process. */
struct crash_record
{
    static constexpr std::size_t least_bytes = 29; /*!< With empty lists. */
    request_content content;
    std::vector<upstream_crash> crashes;
    std::vector<std::uint64_t> cleared; /*!< Ids of crashes that no
                                           longer count as evidence. */
    std::uint32_t age_ms{0};            /*!< Time since the last crash. */
    crash_subject subject{crash_subject::request};

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(content, crashes, cleared, age_ms, subject);
    }
};

/*! @brief A quarantined request, as encoded in the platform's store. */
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
