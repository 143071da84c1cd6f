/*! @file
 * @brief What is known of one request under which upstreams ended; pure.
 */
#ifndef COURSEJUNCTION_RUN_CRASH_EVIDENCE_HPP
#define COURSEJUNCTION_RUN_CRASH_EVIDENCE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief One end of one life of an upstream, alike at all entries. */
using crash_id = strong<struct crash_tag, std::uint64_t>;

/*! @brief Returns the id of the end of a life. */
[[nodiscard]] inline crash_id crash_id_of(const instance_id& upstream,
                                          const incarnation& life)
{
    return crash_id(
        stable_hash(upstream.value() + "/" + std::to_string(life.value())));
}

/*! @brief What a request was doing when its upstream ended; a later value
 * says more against it. */
enum class crash_evidence : std::uint8_t
{
    /*! @brief Its answer had begun. A request that is moved from one killed
     * upstream to the next loses most of them so. */
    mid_response,
    /*! @brief Nothing of its answer had come. */
    before_response,
    /*! @brief It ran as a trial, the only copy of it anywhere. */
    trial
};

/*! @brief Returns how much an end weighs. Three that came before any answer, or
 * six that say less, are as much as a trial. */
[[nodiscard]] constexpr std::size_t weight_of(crash_evidence what)
{
    switch (what)
    {
    case crash_evidence::mid_response:
        return 1;
    case crash_evidence::before_response:
        return 2;
    case crash_evidence::trial:
        break;
    }
    return 6;
}

/*! @brief One content with the upstreams that ended under it. */
struct crash_history
{
    std::map<crash_id, crash_evidence> crashes;
    std::set<crash_id> cleared; /*!< Those of them that no longer count. */
    time_point last_crash{};    /*!< When the last one ended. */
    std::uint64_t change{0};    /*!< Rises with each change to tell of. */
    time_point changed{};       /*!< When there last was one. */
    std::size_t responses_since_crash{
        0}; /*!< Answers given here since the last end. */

    /*! @brief Returns how many ends count. */
    [[nodiscard]] std::size_t active_crashes() const
    {
        std::size_t sum = 0;
        for (const auto& [end, evidence] : crashes)
            sum += cleared.contains(end) ? 0 : 1;
        return sum;
    }

    /*! @brief Returns what the ends weigh that count. */
    [[nodiscard]] std::size_t suspicion() const
    {
        std::size_t sum = 0;
        for (const auto& [end, evidence] : crashes)
            sum += cleared.contains(end) ? 0 : weight_of(evidence);
        return sum;
    }

    /*! @brief Tells whether an upstream ended under a trial of it. */
    [[nodiscard]] bool failed_trial() const
    {
        for (const auto& [end, evidence] : crashes)
        {
            if (evidence == crash_evidence::trial && !cleared.contains(end))
                return true;
        }
        return false;
    }
};

} // namespace coursejunction

#endif
