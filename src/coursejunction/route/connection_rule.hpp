/*! @file
 * @brief Which connection an attempt takes while its weights grow old; pure.
 *
 * Load pattern: a version is named, and narrow links that also carry chunks of
 * weights hold requests up for seconds, so that they begin on weights that are
 * too old by then. Opening a connection shows such a link before anything is
 * sent over it.
 */
#ifndef COURSEJUNCTION_ROUTE_CONNECTION_RULE_HPP
#define COURSEJUNCTION_ROUTE_CONNECTION_RULE_HPP

#include <optional>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief What the connection of an attempt must be like. */
struct connection_rule
{
    /*! @brief This long before weights become too old, attempts go out on new
     * connections; requests were held up on narrow links for up to 2.1 s. */
    static constexpr milliseconds notice{3200};

    /*! @brief This long before, the connection must open quickly as well: the
     * time that remains is less than a link was seen to hold requests up. */
    static constexpr milliseconds last_notice{1400};

    /*! @brief How long opening may take on an idle link; the halls of the
     * installations are 3 ms apart, a busy engine accepts within 20 ms. */
    static constexpr milliseconds quick{60};

    /*! @brief How long opening may take otherwise: a lost packet is sent again
     * after 200 ms. */
    static constexpr milliseconds usual{250};

    bool own{false}; /*!< A connection that no earlier call has used. */
    milliseconds opens_within{usual};

    /*! @param ends When the chosen weights become too old to begin a request;
     * nothing while no newer ones are named. */
    [[nodiscard]] static connection_rule of(std::optional<time_point> ends,
                                            time_point now)
    {
        connection_rule made;
        if (!ends)
            return made;
        made.own = *ends - now < notice;
        if (*ends - now < last_notice)
            made.opens_within = quick;
        return made;
    }
};

} // namespace coursejunction

#endif
