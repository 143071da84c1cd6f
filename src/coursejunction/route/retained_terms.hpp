/*! @file
 * @brief Restrictions of upstreams whose records expired or were removed; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_RETAINED_TERMS_HPP
#define COURSEJUNCTION_ROUTE_RETAINED_TERMS_HPP

#include <map>
#include <optional>
#include <utility>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/known_upstream.hpp"

namespace coursejunction
{

/*! @brief Retains terms, and that a sidecar closed its upstream, for a while. A
 * record that expires in an outage of the store returns under the same id, and
 * the back-off or the rate limit of the upstream may still apply, or a load may
 * not be over. */
class retained_terms
{
public:
    /*! @brief Stores the terms and the status of an upstream that is about to
     * be dropped, if either restricts requests. */
    void keep(const known_upstream& upstream, time_point now)
    {
        const bool closed = upstream.status && !upstream.status->open;
        if (!closed && !upstream.terms.restricts_sends(now))
            return;
        retained_entry kept{upstream.life, upstream.terms, now + retention, {}};
        if (closed)
            kept.closed_by = {upstream.status, upstream.status_at,
                              upstream.side_heard_at};
        retained[upstream.record.id] = std::move(kept);
    }

    /*! @brief Restores what restricts an upstream that is added again.
     * @param reported The incarnation of its record: restrictions of a later
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
        const auto& closed_by = found->second.closed_by;
        if (closed_by.status)
        {
            restored.status = closed_by.status;
            restored.status_at = closed_by.status_at;
            restored.side_heard_at = closed_by.side_heard_at;
        }
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

    /*! @brief A status that says that the upstream is closed, if there is one,
     * with the times of its reception. */
    struct closed_status
    {
        std::optional<message::upstream_status> status;
        time_point status_at{};
        time_point side_heard_at{};
    };

    struct retained_entry
    {
        incarnation life;
        upstream_terms terms;
        time_point until;
        closed_status closed_by;
    };

    std::map<instance_id, retained_entry> retained;
};

} // namespace coursejunction

#endif
