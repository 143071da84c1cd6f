/*! @file
 * @brief Recognises callers that come back after a refusal; pure.
 *
 * Load pattern: more is asked for than the upstreams can end, and a part of
 * what arrives are callers that were refused a moment ago, under a new id and
 * mostly at another entry of their hall. Nothing in a request says so.
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

/*! @brief Hash of all that a later try of a caller repeats: who asks, for what
 * and how much of it. Zero when it is not known. */
using request_fingerprint = strong<struct fingerprint_tag, std::uint64_t>;

/*! @brief A request that was refused. */
struct refusal_record
{
    request_fingerprint fingerprint;
    time_point first_arrival{};         /*!< First try of its caller. */
    std::optional<time_point> deadline; /*!< Its caller's deadline. */
    time_point refused_at{};            /*!< When it was sent away. */
    time_point retry_at{}; /*!< When its caller was told to return. */
};

/*! @brief Requests that this entry, or one of its hall, refused lately. */
class recent_refusals
{
public:
    /*! @brief Refusals remembered at most, some 1.5 MB. */
    static constexpr std::size_t max_remembered = 16'384;

    /*! @brief Refusals kept for the other entries at most. */
    static constexpr std::size_t max_unsent = 256;

    /*! @brief Two tries of one caller have the same deadline but for their ways
     * here, timers and rounding. */
    static constexpr milliseconds deadline_tolerance{20};

    /*! @brief A caller that is not back so long after it was told to return has
     * left: a new connection is given a second. A request like its own is then
     * somebody else's. */
    static constexpr milliseconds retry_expiry{1200};

    /*! @brief Callers that do not heed what they were told come back within
     * this time; between it and what they were told, nobody does. */
    static constexpr milliseconds immediate_retry_window{150};

    /*! @brief Timers and clocks may make a caller come this much too soon. */
    static constexpr milliseconds early_retry_tolerance{20};

    /*! @brief Remembers a refusal of this entry, which others are to be told.
     */
    void record(const refusal_record& one);

    /*! @brief Remembers a refusal that another entry tells of. */
    void record_remote(const refusal_record& one);

    /*! @brief Finds the refusal that a request comes back from, and forgets it:
     * a refused caller returns once. Callers that ask for the same are told
     * apart by the moment at which they come and by their deadlines.
     * @return The first try of its caller. */
    [[nodiscard]] std::optional<time_point>
    match_retry(request_fingerprint fingerprint,
                std::optional<time_point> deadline, time_point now);

    /*! @brief Returns the oldest refusals that the other entries have not been
     * told, and takes them for told.
     * @param count At most so many. */
    [[nodiscard]] std::vector<refusal_record> take_unsent(std::size_t count);

    /*! @brief Tells whether the other entries have not been told of some. */
    [[nodiscard]] bool has_unsent() const { return !unsent.empty(); }

    /*! @brief Forgets callers that have left. */
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const { return known.size(); }

private:
    std::multimap<request_fingerprint, refusal_record> known;
    std::vector<refusal_record> unsent;
};

} // namespace coursejunction

#endif
