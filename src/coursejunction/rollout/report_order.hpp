/*! @file
 * @brief How a report of an upstream stands to the one before it; pure.
 *
 * An upstream that starts again under its id holds and knows nothing of before,
 * and its counts start anew: a report that reads like the last one may be of
 * another life. One of an earlier life that comes late never brings it back.
 */
#ifndef COURSEJUNCTION_ROLLOUT_REPORT_ORDER_HPP
#define COURSEJUNCTION_ROLLOUT_REPORT_ORDER_HPP

#include <cstdint>

#include "coursejunction/rollout/upstream_engine.hpp"

namespace coursejunction
{

/*! @brief What a report is to the one before it. */
enum class report_order : std::uint8_t
{
    follows,   /*!< Of the same life, as late or later. */
    restarted, /*!< The upstream has started again since. */
    outdated   /*!< Of an earlier life, or of an earlier moment. */
};

/*! @brief Compares two reports.
 * @param closing Whether an order to load is out or about to be given, which
 * takes weights away in the same life. */
[[nodiscard]] inline report_order
order_of(const engine_report& before, const engine_report& told, bool closing)
{
    if (!before.life.empty() && !told.life.empty())
    {
        if (told.life > before.life)
            return report_order::restarted;
        return told.life < before.life || told.sequence < before.sequence
                   ? report_order::outdated
                   : report_order::follows;
    }
    // Lives are not told: orders that are forgotten, or weights that go without
    // an order, show a restart, but for one between two orders of none.
    const bool lost_weights =
        told.version == 0 && before.version != 0 && !closing;
    return told.sequence < before.sequence || lost_weights
               ? report_order::restarted
               : report_order::follows;
}

} // namespace coursejunction

#endif
