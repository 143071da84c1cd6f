/*! @file
 * @brief Conditions of a model's versions that operators are alerted to; pure.
 */
#ifndef COURSEJUNCTION_FLEET_VERSION_ALARM_HPP
#define COURSEJUNCTION_FLEET_VERSION_ALARM_HPP

#include <chrono>
#include <cstdint>
#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A condition and the time since which it has held. */
class timed_condition
{
public:
    enum class change : std::uint8_t
    {
        none,
        began,
        ended
    };

    /*! @brief Sets whether the condition holds.
     * @param since When it began; used if it did not hold before. */
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

    /*! @brief Returns how long the condition has held; zero if it does not. */
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

/*! @brief The alarm conditions of one model. */
struct version_alarms
{
    /*! @brief The operator's key holds a version below the newest known one. */
    timed_condition outdated;
    /*! @brief The newest version is the minimum version, and no upstream serves
     * it. */
    timed_condition unserved;
};

} // namespace coursejunction

#endif
