/*! @file
 * @brief Terms of upstreams whose records are gone; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_RETAINED_TERMS_HPP
#define COURSEJUNCTION_ROUTE_RETAINED_TERMS_HPP

#include <map>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction
{

/*! @brief Keeps terms for a while. A record that lapses in an outage of the
 * store comes back under its id, and the upstream may still rest or be at its
 * limit. */
class retained_terms
{
public:
    /*! @brief Keeps what binds an upstream that is about to be forgotten. */
    void keep(const known_upstream& one, time_point now)
    {
        if (one.terms.restrict_sends(now))
            kept[one.record.id] = {one.life, one.terms, now + keeping_time};
    }

    /*! @brief Gives an upstream that is known anew its terms back.
     * @param told The life that its record names: terms of a later one are not
     * its own. */
    void restore(const instance_id& id, const incarnation& told,
                 known_upstream& to)
    {
        const auto found = kept.find(id);
        if (found == kept.end() || (!told.empty() && told < found->second.life))
            return;
        to.life = found->second.life;
        to.terms = found->second.terms;
        kept.erase(found);
    }

    /*! @brief Forgets what is kept for long enough. */
    void expire(time_point now)
    {
        std::erase_if(kept,
                      [&](const auto& one) { return now >= one.second.until; });
    }

private:
    /*! @brief Outages of the store last seconds, rests as well. */
    static constexpr milliseconds keeping_time{60'000};

    struct departed
    {
        incarnation life;
        upstream_terms terms;
        time_point until;
    };

    std::map<instance_id, departed> kept;
};

} // namespace coursejunction

#endif
