/*! @file
 * @brief Terms of upstreams whose records expired or were removed; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_RETAINED_TERMS_HPP
#define COURSEJUNCTION_ROUTE_RETAINED_TERMS_HPP

#include <map>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction
{

/*! @brief Retains terms for a while. A record that expires in an outage of the
 * store returns under the same id, and the back-off or the rate limit of the
 * upstream may still apply. */
class retained_terms
{
public:
    /*! @brief Stores the terms of an upstream that is about to be dropped, if
     * they restrict requests. */
    void keep(const known_upstream& upstream, time_point now)
    {
        if (upstream.terms.restricts_sends(now))
            retained[upstream.record.id] = {upstream.life, upstream.terms,
                                            now + retention};
    }

    /*! @brief Restores the terms of an upstream that is added again.
     * @param reported The incarnation of its record: terms of a later
     * incarnation are not restored. */
    void restore(const instance_id& id, const incarnation& reported,
                 known_upstream& restored)
    {
        const auto found = retained.find(id);
        if (found == retained.end() ||
            (!reported.empty() && reported < found->second.life))
            return;
        restored.life = found->second.life;
        restored.terms = found->second.terms;
        retained.erase(found);
    }

    /*! @brief Drops terms retained for long enough. */
    void expire(time_point now)
    {
        std::erase_if(retained, [&](const auto& item)
                      { return now >= item.second.until; });
    }

private:
    /*! @brief Outages of the store and back-offs last seconds. */
    static constexpr milliseconds retention{60'000};

    struct retained_entry
    {
        incarnation life;
        upstream_terms terms;
        time_point until;
    };

    std::map<instance_id, retained_entry> retained;
};

} // namespace coursejunction

#endif
