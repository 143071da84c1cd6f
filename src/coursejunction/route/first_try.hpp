/*! @file
 * @brief Tells how long ago a caller first tried; pure.
 *
 * Load pattern: callers that were refused come back with what is left of
 * their deadline. Their target counts from the first try, so an entry that
 * takes them for new gives places away that new callers would use in time.
 */
#ifndef COURSEJUNCTION_ROUTE_FIRST_TRY_HPP
#define COURSEJUNCTION_ROUTE_FIRST_TRY_HPP

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Knows the longest deadline seen lately on each route: callers of a
 * route begin with the same one, and a later try carries what is left of it. */
class first_try
{
public:
    /*! @brief Differences below this are no earlier try: callers round, and
     * opening a connection takes a few ms. */
    static constexpr milliseconds rounding{50};

    /*! @brief A deadline is remembered for this long to twice as long, several
     * times the longest deadline of the installations (6 s): callers may begin
     * with shorter ones from some day on. */
    static constexpr milliseconds memory{30'000};

    /*! @brief Notes a request's deadline.
     * @return The time since its caller's first try; zero when it is new or
     * carries no deadline. */
    milliseconds waited(const std::string& route,
                        const std::optional<milliseconds>& deadline,
                        time_point now)
    {
        if (!deadline)
            return milliseconds(0);
        auto& seen = longest[route];
        if (now - seen.began >= memory)
            seen = {now,
                    now - seen.began < 2 * memory ? seen.recent
                                                  : milliseconds(0),
                    milliseconds(0)};
        seen.recent = std::max(seen.recent, *deadline);
        const auto gone = std::max(seen.recent, seen.before) - *deadline;
        return gone > rounding ? gone : milliseconds(0);
    }

    /*! @brief Forgets routes for which a predicate of their name is false. */
    template <typename Predicate>
    void keep(Predicate wanted)
    {
        std::erase_if(longest,
                      [&](const auto& one) { return !wanted(one.first); });
    }

private:
    /*! @brief Longest deadlines of two spans of time. */
    struct spans
    {
        time_point began{};
        milliseconds before{0};
        milliseconds recent{0};
    };

    std::map<std::string, spans> longest;
};

} // namespace coursejunction

#endif
