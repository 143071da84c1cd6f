/*! @file
 * @brief Remembers outages of the platform's store; pure.
 */
#ifndef COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP
#define COURSEJUNCTION_FLEET_STORE_OUTAGE_HPP

#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Records of upstreams may lapse while the store is away and are back
 * soon after its return. A single failed call, or a history that is gone, is no
 * such outage: what is missing after it has really left. */
class store_outage
{
public:
    /*! @brief Failures for at least this long are an outage; a record lapses
     * after three heartbeats, of which the first may be due at once. */
    static constexpr milliseconds least{1000};

    /*! @brief After its return the store counts as unsettled for this long;
     * the platform's rules count nothing against us for as long. */
    static constexpr milliseconds settling{3000};

    /*! @brief A call failed. */
    void failed(time_point now)
    {
        if (!began)
            began = now;
    }

    /*! @brief A call was answered. */
    void answered(time_point now)
    {
        if (began && now - *began >= least)
            ended = now;
        began.reset();
    }

    /*! @brief Tells whether an outage ended just now. */
    [[nodiscard]] bool returned(time_point now) const
    {
        return ended && now - *ended < settling;
    }

private:
    std::optional<time_point> began;
    std::optional<time_point> ended;
};

} // namespace coursejunction

#endif
