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
    /*! @brief It ran as a trial, but its response had begun. A long response
     * is likely to meet an end that has another reason, such as a kill, so that
     * one of these may be a coincidence. */
    begun_trial,
    /*! @brief It ran as a trial: no other copy of it ran anywhere, and no part
     * of its response had arrived. */
    trial
};

/*! @brief Returns the state of a request when its upstream crashed. */
[[nodiscard]] constexpr crash_evidence evidence_of(bool is_trial,
                                                   bool response_begun)
{
    if (is_trial)
        return response_begun ? crash_evidence::begun_trial
                              : crash_evidence::trial;
    return response_begun ? crash_evidence::mid_response
                          : crash_evidence::before_response;
}

/*! @brief Returns the weight of one crash. Three crashes before any response,
 * or six during one, weigh as much as a crash during a trial. */
[[nodiscard]] constexpr std::size_t evidence_weight(crash_evidence evidence)
{
    switch (evidence)
    {
    case crash_evidence::mid_response:
        return 1;
    case crash_evidence::before_response:
    case crash_evidence::begun_trial:
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
    case crash_evidence::begun_trial:
        return "begun_trial";
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
    time_point learnt_at{};     /*!< When a crash was last added here. */
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

    /*! @brief Returns how many crashes with the given evidence count. */
    [[nodiscard]] std::size_t active_crashes(crash_evidence wanted) const
    {
        std::size_t sum = 0;
        for (const auto& [crash, evidence] : crashes)
            sum += evidence == wanted && !cleared.contains(crash) ? 1 : 0;
        return sum;
    }
};

} // namespace coursejunction

#endif
