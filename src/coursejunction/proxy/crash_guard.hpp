/*! @file
 * @brief Keeps requests that crash upstreams from the upstreams of an entry.
 */
#ifndef COURSEJUNCTION_PROXY_CRASH_GUARD_HPP
#define COURSEJUNCTION_PROXY_CRASH_GUARD_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/run/crash_ledger.hpp"
#include "coursejunction/run/lost_attempt_tracker.hpp"

namespace coursejunction
{

/*! @brief Looks into lost attempts, counts upstreams that ended under a request
 * together with the other entries, and says which requests are not sent any
 * more. */
class crash_guard
{
public:
    /*! @brief Told when a request is quarantined, here or by another entry. */
    using quarantine_callback = std::function<void(const request_content&)>;

    /*! @brief Told when other entries should hear of a record at once. */
    using news_callback = std::function<void()>;

    /*! @brief Tells whether trials of a request are this entry's; all entries
     * agree on one. */
    using trial_owner = std::function<bool(const request_content&)>;

    /*! @brief Told what should outlast this process: a record that was found
     * here, or nothing where a quarantine is over before its time. */
    using keep_callback = std::function<void(
        const request_content&, const message::crash_record* record)>;

    crash_guard(stream_client& carrier, metrics& counted,
                quarantine_callback call);

    /*! @brief Sets who tells other entries. */
    void on_news(news_callback call);

    /*! @brief Sets who keeps quarantines beyond this process. */
    void on_keep(keep_callback call);

    /*! @brief Sets who knows whose trials are whose; until then, all are this
     * entry's. */
    void owns_trials(trial_owner call);

    [[nodiscard]] crash_status standing(const request_content& what,
                                        time_point now) const;

    /*! @brief Returns how many copies of a request may run here at once. */
    [[nodiscard]] std::size_t most_running(const request_content& what,
                                           time_point now) const;

    /*! @brief Tells whether an attempt of a request was lost just now and it is
     * not known why. */
    [[nodiscard]] bool looking_into(const request_content& what,
                                    time_point now) const;

    /*! @brief Tells whether a request may be what ended an upstream, as far as
     * is known or just being looked into. */
    [[nodiscard]] bool suspect(const request_content& what,
                               time_point now) const;

    /*! @brief Returns how long a request's quarantine still lasts. */
    [[nodiscard]] milliseconds left(const request_content& what,
                                    time_point now) const;

    /*! @brief An attempt was lost before its answer was whole. Whether its
     * upstream ended is asked at its address. */
    void lost(lost_attempt one, time_point now);

    /*! @brief An upstream was seen to have ended. */
    void ended(const instance_id& upstream, const std::string& why);

    /*! @brief An upstream's record is gone. It may only stand still where
     * nothing but silence came from it; that is asked at its address. */
    void record_gone(const instance_id& upstream);

    /*! @brief An upstream's record names an address: whoever had it before has
     * ended. */
    void address_taken(const instance_id& by, const std::string& address);

    /*! @brief An upstream answered a request in whole. */
    void answered(const request_content& what);

    /*! @brief Takes records of another entry. Where only all ends together
     * quarantine a request nobody finds that by its own, so that the entry that
     * runs the trials keeps it. */
    void take(const std::vector<message::crash_record>& told,
              const std::string& from);

    /*! @brief Takes a quarantine that outlasted the process that found it. */
    void restore(const message::crash_record& kept_before);

    /*! @brief Returns records for other entries. */
    [[nodiscard]] std::vector<message::crash_record> told();

    /*! @brief Ends a quarantine, here and, by the next heartbeats, everywhere.
     * @return Whether there was one. */
    bool lift_quarantine(const request_content& what);

    /*! @brief Forgets what is past, and sets the gauges. */
    void tick(time_point now);

    [[nodiscard]] const crash_ledger& records() const { return ledger; }

private:
    void look_at(const instance_id& upstream, const std::string& address);
    void accuse(const std::vector<crash_report>& accused,
                const instance_id& upstream, const std::string& why);
    void note_quarantine(const request_content& what, const std::string& why);
    [[nodiscard]] bool tries(const request_content& what) const;
    void keep(const request_content& what);
    void cleared(const request_content& what, const std::string& event);

    stream_client& client;
    metrics& counters;
    quarantine_callback quarantined;
    news_callback news;
    keep_callback kept;
    trial_owner owns;
    crash_ledger ledger;
    lost_attempt_tracker witness;
};

} // namespace coursejunction

#endif
