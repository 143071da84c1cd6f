/*! @file
 * @brief Crashes of upstreams that ran one request, and their weight as
 * evidence that it caused them; pure.
 */
#ifndef COURSEJUNCTION_RUN_CRASH_EVIDENCE_HPP
#define COURSEJUNCTION_RUN_CRASH_EVIDENCE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Id of the crash of one incarnation of an upstream; the same at all
 * entries. */
using crash_id = strong<struct crash_tag, std::uint64_t>;

/*! @brief Returns the id of the crash of an incarnation. */
[[nodiscard]] inline crash_id crash_id_of(const instance_id& upstream,
                                          const incarnation& life)
{
    return crash_id(
        stable_hash(upstream.value() + "/" + std::to_string(life.value())));
}

/*! @brief State of a request when its upstream crashed. The order matters: a
 * later value is stronger evidence against the request. */
enum class crash_evidence : std::uint8_t
{
    /*! @brief Its response had begun. A request that did not cause the crashes,
     * but is moved from one killed upstream to the next, is mostly in this
     * state when they crash. */
    mid_response,
    /*! @brief No part of its response had arrived. */
    before_response,
    /*! @brief It ran as a trial: no other copy of it ran anywhere. */
    trial
};

/*! @brief Returns the weight of one crash. Three crashes before any response,
 * or six during one, weigh as much as a crash during a trial. */
[[nodiscard]] constexpr std::size_t evidence_weight(crash_evidence evidence)
{
    switch (evidence)
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

/*! @brief Returns the name of a state as it is logged. */
[[nodiscard]] constexpr std::string_view evidence_name(crash_evidence evidence)
{
    switch (evidence)
    {
    case crash_evidence::mid_response:
        return "mid_response";
    case crash_evidence::before_response:
        return "before_response";
    case crash_evidence::trial:
        break;
    }
    return "trial";
}

/*! @brief The crashes of upstreams that ran one request. */
struct crash_history
{
    std::map<crash_id, crash_evidence> crashes;
    std::set<crash_id> cleared; /*!< Those that no longer count. */
    time_point last_crash{};    /*!< When the last one happened. */
    /*! @brief Number of the record's last change to report, counted over all
     * records of the ledger; 0: none. */
    std::uint64_t change_number{0};
    time_point changed_at{}; /*!< When that change happened. */
    /*! @brief Complete responses at this entry since a crash was last added. */
    std::size_t responses_since_crash{0};

    /*! @brief Returns how many crashes count. */
    [[nodiscard]] std::size_t active_crashes() const
    {
        std::size_t sum = 0;
        for (const auto& [crash, evidence] : crashes)
            sum += cleared.contains(crash) ? 0 : 1;
        return sum;
    }

    /*! @brief Returns the total weight of the crashes that count. */
    [[nodiscard]] std::size_t total_weight() const
    {
        std::size_t sum = 0;
        for (const auto& [crash, evidence] : crashes)
            sum += cleared.contains(crash) ? 0 : evidence_weight(evidence);
        return sum;
    }

    /*! @brief Returns whether a crash during a trial counts. */
    [[nodiscard]] bool failed_trial() const
    {
        for (const auto& [crash, evidence] : crashes)
        {
            if (evidence == crash_evidence::trial && !cleared.contains(crash))
                return true;
        }
        return false;
    }
};

} // namespace coursejunction

#endif
