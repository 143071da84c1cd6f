/*! @file
 * @brief Compares a report of an upstream with the previous one; pure.
 *
 * An upstream that restarts under its id has lost its weights, and its counters
 * start at 0 again, so that a report may equal the previous one although it is
 * of a later incarnation. A delayed report of an earlier incarnation must be
 * discarded.
 */
#ifndef COURSEJUNCTION_ROLLOUT_REPORT_ORDER_HPP
#define COURSEJUNCTION_ROLLOUT_REPORT_ORDER_HPP

#include <cstdint>

#include "coursejunction/rollout/upstream_engine.hpp"

namespace coursejunction
{

/*! @brief How a report relates to the previous one. */
enum class report_order : std::uint8_t
{
    follows,   /*!< Of the same incarnation, not older. */
    restarted, /*!< The upstream has restarted since. */
    outdated   /*!< Of an earlier incarnation, or older. */
};

/*! @brief Classifies a report by the previous one.
 * @param closing Whether a load command was sent or is about to be sent: it
 * unloads the weights without a restart. */
[[nodiscard]] inline report_order classify_report(const engine_report& previous,
                                                  const engine_report& report,
                                                  bool closing)
{
    if (!previous.life.empty() && !report.life.empty())
    {
        if (report.life > previous.life)
            return report_order::restarted;
        return report.life < previous.life ||
                       report.sequence < previous.sequence
                   ? report_order::outdated
                   : report_order::follows;
    }
    // Without incarnations a restart shows in a lower count of load commands,
    // or in weights that vanish without a command. A restart goes unnoticed
    // if no command had been accepted and the same weights are served again.
    const bool lost_weights = report.version == 0 && previous.version != 0 &&
                              !closing && report.sequence == previous.sequence;
    return report.sequence < previous.sequence || lost_weights
               ? report_order::restarted
               : report_order::follows;
}

} // namespace coursejunction

#endif
