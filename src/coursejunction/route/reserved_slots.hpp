/*! @file
 * @brief The result of a slot reserve for one request.
 */
#ifndef COURSEJUNCTION_ROUTE_RESERVED_SLOTS_HPP
#define COURSEJUNCTION_ROUTE_RESERVED_SLOTS_HPP

namespace coursejunction
{

/*! @brief What a request must leave free for more urgent ones, with the inputs
 * of this decision. */
struct reserved_slots
{
    double slots{0};             /*!< At one engine. */
    double urgent_per_second{0}; /*!< More urgent requests, at one engine. */
    double served_ratio{1};      /*!< How often its rank is served, relative to
                                    all requests. */
    /*! @brief Less urgent requests for one that is not, at most 1. The engine
     * takes a waiting request before those of less urgent ranks. */
    double overtaken{0};
    double degree{0}; /*!< Degree of overload, 0 to 1. */
    /*! @brief Time since the rates of other entries were set. */
    double rates_age_ms{0};
};

} // namespace coursejunction

#endif
