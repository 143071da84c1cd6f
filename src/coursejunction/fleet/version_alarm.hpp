/*! @file
 * @brief States of a model's versions that an operator has to see; pure.
 */
#ifndef COURSEJUNCTION_FLEET_VERSION_ALARM_HPP
#define COURSEJUNCTION_FLEET_VERSION_ALARM_HPP

#include <chrono>
#include <cstdint>
#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A condition with the time since when it holds. */
class timed_condition
{
public:
    enum class change : std::uint8_t
    {
        none,
        began,
        ended
    };

    /*! @brief Notes whether it holds.
     * @param since When it began, if it does now. */
    change update(bool holds, time_point since)
    {
        if (holds == began_at.has_value())
            return change::none;
        if (holds)
            began_at = since;
        else
            began_at.reset();
        return holds ? change::began : change::ended;
    }

    /*! @brief Returns for how long it has held; zero when it does not. */
    [[nodiscard]] std::chrono::microseconds duration(time_point now) const
    {
        if (!began_at)
            return {};
        return std::chrono::duration_cast<std::chrono::microseconds>(now -
                                                                     *began_at);
    }

private:
    std::optional<time_point> began_at;
};

/*! @brief What is alarming of one model. */
struct version_alarms
{
    timed_condition outdated; /*!< The store names an older version. */
    timed_condition unserved; /*!< The newest binds and nobody serves it. */
};

} // namespace coursejunction

#endif
