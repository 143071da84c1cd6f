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
#include "coursejunction/run/crash_witness.hpp"

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
    using change_callback = std::function<void()>;

    /*! @brief Tells whether trials of a request are this entry's; all entries
     * agree on one. */
    using trial_owner = std::function<bool(const request_content&)>;

    /*! @brief Told what should outlast this process: a record that was found
     * here, or nothing where a quarantine is over before its time. */
    using persist_callback = std::function<void(
        const request_content&, const message::crash_record* record)>;

    crash_guard(stream_client& upstream_client, metrics& counted,
                quarantine_callback callback);

    /*! @brief Sets who tells other entries. */
    void on_records_changed(change_callback callback);

    /*! @brief Sets who keeps quarantines beyond this process. */
    void on_persist(persist_callback callback);

    /*! @brief Sets who knows whose trials are whose; until then, all are this
     * entry's. */
    void set_trial_owner(trial_owner predicate);

    [[nodiscard]] crash_standing status(const request_content& content,
                                        time_point now) const;

    /*! @brief Returns how many copies of a request may run here at once. */
    [[nodiscard]] std::size_t max_running(const request_content& content,
                                          time_point now) const;

    /*! @brief Tells whether an attempt of a request was lost just now and it is
     * not known why. */
    [[nodiscard]] bool has_unexplained_loss(const request_content& content,
                                            time_point now) const;

    /*! @brief Tells whether a request may be what ended an upstream, as far as
     * is known or just being looked into. */
    [[nodiscard]] bool is_suspect(const request_content& content,
                                  time_point now) const;

    /*! @brief Returns how long a request's quarantine still lasts. */
    [[nodiscard]] milliseconds quarantine_left(const request_content& content,
                                               time_point now) const;

    /*! @brief An attempt was lost before its answer was whole. Whether its
     * upstream ended is asked at its address. */
    void attempt_lost(lost_attempt attempt, time_point now);

    /*! @brief An upstream was seen to have ended. */
    void upstream_crashed(const instance_id& upstream, const std::string& why);

    /*! @brief An upstream's record is gone. It may only stand still where
     * nothing but silence came from it; that is asked at its address. */
    void record_expired(const instance_id& upstream);

    /*! @brief An upstream's record names an address: whoever had it before has
     * ended. */
    void address_reassigned(const instance_id& upstream,
                            const std::string& address);

    /*! @brief An upstream answered a request in whole. */
    void record_response(const request_content& content);

    /*! @brief Takes records of another entry. Where only all ends together
     * quarantine a request nobody finds that by its own, so that the entry that
     * runs the trials keeps it. */
    void merge_records(const std::vector<message::crash_record>& received,
                       const std::string& from);

    /*! @brief Takes a quarantine that outlasted the process that found it. */
    void restore_quarantine(const message::crash_record& stored);

    /*! @brief Returns records for other entries. */
    [[nodiscard]] std::vector<message::crash_record> collect_updates();

    /*! @brief Ends a quarantine, here and, by the next heartbeats, everywhere.
     * @return Whether there was one. */
    bool lift_quarantine(const request_content& content);

    /*! @brief Forgets what is past, and sets the gauges. */
    void tick(time_point now);

    [[nodiscard]] const crash_ledger& records() const { return ledger; }

private:
    void probe_upstream(const instance_id& upstream,
                        const std::string& address);
    void record_crash(const std::vector<crash_accusation>& reports,
                      const instance_id& upstream, const std::string& why);
    void begin_quarantine(const request_content& content,
                          const std::string& why);
    [[nodiscard]] bool runs_trials(const request_content& content) const;
    void persist(const request_content& content);
    void end_quarantine(const request_content& content,
                        const std::string& event);

    stream_client& client;
    metrics& counters;
    quarantine_callback quarantined;
    change_callback records_changed;
    persist_callback persist_record;
    trial_owner owns_trials;
    crash_ledger ledger;
    crash_witness tracker;
};

} // namespace coursejunction

#endif
