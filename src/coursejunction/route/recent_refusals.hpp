/*! @file
 * @brief Recognises requests of clients that retry after a refusal; pure.
 * Load pattern: under overload, a part of the arriving requests comes from
 * clients that were refused a moment ago. They have a new id, mostly reach
 * another entry of the same hall, and nothing in them says that they are
 * retries.
 */
#ifndef COURSEJUNCTION_ROUTE_RECENT_REFUSALS_HPP
#define COURSEJUNCTION_ROUTE_RECENT_REFUSALS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Hash of everything that a client's retry repeats: who asks, for what,
 * and its size. Zero if not known. */
using request_fingerprint = strong<struct fingerprint_tag, std::uint64_t>;

/*! @brief A refused request. */
struct refusal_record
{
    request_fingerprint fingerprint;
    time_point first_arrival{};         /*!< First request of its client. */
    std::optional<time_point> deadline; /*!< The client's deadline. */
    time_point refused_at{};            /*!< When it was refused. */
    time_point retry_at{}; /*!< When the client was asked to retry. */
};

/*! @brief Requests that this entry or another one of its hall refused recently.
 */
class recent_refusals
{
public:
    /*! @brief Largest number of refusals kept, some 1.5 MB; further ones are
     * ignored until some expire. */
    static constexpr std::size_t max_remembered = 16'384;

    /*! @brief Largest number of refusals kept to be sent to other entries. */
    static constexpr std::size_t max_unsent = 256;

    /*! @brief The deadlines of a request and its retry differ at most by this
     * much, because of transit times, timers and rounding. */
    static constexpr milliseconds deadline_tolerance{20};

    /*! @brief A client that has not retried this long after the requested time
     * has left; opening a new connection may take up to a second. A later
     * equal request is another client's. */
    static constexpr milliseconds retry_expiry{1200};

    /*! @brief Clients that ignore the requested time retry within this time
     * after the refusal. Between it and the requested time there are no
     * retries. */
    static constexpr milliseconds immediate_retry_window{150};

    /*! @brief Timers and clocks may make a client retry this much too early. */
    static constexpr milliseconds early_retry_tolerance{20};

    /*! @brief Records a refusal of this entry, to be sent to others too. */
    void record(const refusal_record& refusal);

    /*! @brief Records a refusal that another entry reported. */
    void record_remote(const refusal_record& refusal);

    /*! @brief Finds the refusal that a request is the retry of, and drops it,
     * as a client retries once. Clients with equal requests are distinguished
     * by when they arrive and by their deadlines.
     * @return When the client sent its first request. */
    [[nodiscard]] std::optional<time_point>
    match_retry(request_fingerprint fingerprint,
                std::optional<time_point> deadline, time_point now);

    /*! @brief Returns the oldest refusals not yet sent to other entries, and
     * marks them as sent.
     * @param count Largest number returned. */
    [[nodiscard]] std::vector<refusal_record> take_unsent(std::size_t count);

    /*! @brief Returns whether there are refusals not yet sent to other entries.
     */
    [[nodiscard]] bool has_unsent() const { return !unsent.empty(); }

    /*! @brief Drops refusals whose clients have left. */
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const { return refusals.size(); }

private:
    std::multimap<request_fingerprint, refusal_record> refusals;
    std::vector<refusal_record> unsent;
};

} // namespace coursejunction

#endif
