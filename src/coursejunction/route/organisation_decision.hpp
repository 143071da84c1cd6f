/*! @file
 * @brief The decision on a request by the share of its organisation.
 */
#ifndef COURSEJUNCTION_ROUTE_ORGANISATION_DECISION_HPP
#define COURSEJUNCTION_ROUTE_ORGANISATION_DECISION_HPP

namespace coursejunction
{

/*! @brief The decision with its inputs. Rates are per second and over all
 * entries. */
struct organisation_decision
{
    bool applies{false}; /*!< Its organisation has a share of the service. */
    bool beyond{false};  /*!< The request is refused. */
    /*! @brief Its organisation sends more than its share, whether or not any of
     * it is refused. */
    bool above_share{false};
    double per_second{0}; /*!< New requests of the organisation. */
    double usual{0};      /*!< The same over the last minutes. */
    double level{0};      /*!< Rate up to which it is served. */
    double fraction{0};   /*!< Fraction of its requests beyond the level. */
    /*! @brief Refusals of requests of organisations within their shares. */
    double refused_within{0};
    double rates_age_ms{0}; /*!< Age of the oldest reported rate. */
};

} // namespace coursejunction

#endif
