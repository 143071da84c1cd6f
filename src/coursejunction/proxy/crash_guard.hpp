/*! @file
 * @brief Stops requests that crash upstreams from being sent again. */
#ifndef COURSEJUNCTION_PROXY_CRASH_GUARD_HPP
#define COURSEJUNCTION_PROXY_CRASH_GUARD_HPP

#include <cstddef>
#include <functional>
#include <optional>
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

/*! @brief Determines which lost attempts were upstream crashes, counts the
 * crashes under each request and under each shared part of a prompt, shares the
 * counts with the other entries and quarantines requests with too many. After
 * its quarantine a request is on trial: one entry runs one copy at a time to
 * see whether it still crashes upstreams. */
class crash_guard
{
public:
    /*! @brief Called when a request, or a part of a prompt, is quarantined, by
     * this or by another entry. */
    using quarantine_callback = std::function<void(const request_content&)>;

    /*! @brief Called when a crash record changed that the other entries should
     * receive immediately. */
    using change_callback = std::function<void()>;

    /*! @brief Returns the place of this entry among those that run the trials
     * of a request; all entries agree on the order. */
    using trial_rank = std::function<std::size_t(const request_content&)>;

    /*! @brief Called with a crash record to persist, or with null when a
     * quarantine was lifted or disproved and its stored record must be removed.
     */
    using persist_callback = std::function<void(
        const request_content&, const message::crash_record* record)>;

    crash_guard(stream_client& upstream_client, metrics& metric_counters,
                quarantine_callback callback);

    /*! @brief Sets the callback for changed records. */
    void on_records_changed(change_callback callback);

    /*! @brief Sets the callback that persists quarantines beyond this process.
     */
    void on_persist(persist_callback callback);

    /*! @brief Sets who runs the trials. Without it, this entry runs all of
     * them. */
    void set_trial_rank(trial_rank callback);

    [[nodiscard]] crash_status status(const request_content& content,
                                      time_point now) const;

    /*! @brief Returns how many copies of a request may run at the same time at
     * this entry. */
    [[nodiscard]] std::size_t max_running(const request_content& content,
                                          time_point now) const;

    /*! @brief Returns whether an attempt of a request was lost recently and the
     * cause is still unknown. */
    [[nodiscard]] bool has_unexplained_loss(const request_content& content,
                                            time_point now) const;

    /*! @brief Returns whether a request may have crashed an upstream: crashes
     * are counted against it, or a lost attempt is unexplained. */
    [[nodiscard]] bool is_suspect(const request_content& content,
                                  time_point now) const;

    /*! @brief Returns whether a request may be at two upstreams at once:
     * nothing suggests that it crashed one. An upstream that was only silent
     * does not.
     */
    [[nodiscard]] bool may_hedge(const request_content& content,
                                 time_point now) const;

    /*! @brief Returns the remaining duration of a request's quarantine. */
    [[nodiscard]] milliseconds quarantine_left(const request_content& content,
                                               time_point now) const;

    /*! @brief Records an attempt that was lost before its response was
     * complete, and probes the upstream's address to see whether the upstream
     * crashed. */
    void attempt_lost(lost_attempt attempt, time_point now);

    /*! @brief Records that an upstream is known to have crashed. */
    void upstream_crashed(const instance_id& upstream,
                          const std::string& reason);

    /*! @brief Handles the disappearance of an upstream's record from the store.
     * It confirms a crash for attempts whose connections the upstream closed.
     * Where an attempt only timed out, the upstream may be suspended instead,
     * so its address is probed. */
    void upstream_record_expired(const instance_id& upstream);

    /*! @brief Called for each upstream record that is read. If another upstream
     * had this address before and attempts to it were lost, that upstream has
     * crashed. */
    void address_reassigned(const instance_id& upstream,
                            const std::string& address);

    /*! @brief Returns the first part of a prompt that is quarantined or on
     * trial, if any. */
    [[nodiscard]] std::optional<request_content>
    blocked_part(const std::vector<request_content>& parts) const;

    /*! @brief Returns whether this entry may run the trial of a part of a
     * prompt. */
    [[nodiscard]] bool may_try_part(const request_content& part,
                                    time_point now) const;

    /*! @brief Returns the remaining duration of a part's quarantine. */
    [[nodiscard]] milliseconds part_quarantine_left(const request_content& part,
                                                    time_point now) const;

    /*! @brief Records a complete response to a request.
     * @param shared_parts Parts of its prompt. */
    void record_response(const request_content& content,
                         const std::vector<request_content>& shared_parts = {});

    /*! @brief Merges crash records of another entry. If a request is
     * quarantined only by the crashes of all entries together, none of them
     * finds this alone, so the one that runs the trials persists the record. */
    void merge_records(const std::vector<message::crash_record>& received,
                       const std::string& from);

    /*! @brief Restores a quarantine from the store, found by this or an earlier
     * process. */
    void restore_quarantine(const message::crash_record& stored);

    /*! @brief Returns the crash records to send to the other entries. */
    [[nodiscard]] std::vector<message::crash_record> collect_updates();

    /*! @brief Ends a quarantine here and, with the next heartbeats, at all
     * entries.
     * @return Whether the request was quarantined. */
    bool lift_quarantine(const request_content& content);

    /*! @brief Drops expired crash records and updates the gauges. */
    void tick(time_point now);

    [[nodiscard]] const crash_ledger& records() const { return ledger; }

    /*! @brief Returns the crashes counted against parts of prompts. */
    [[nodiscard]] const crash_ledger& part_records() const
    {
        return part_ledger;
    }

private:
    void probe_upstream(const instance_id& upstream,
                        const std::string& address);
    void record_crash(const std::vector<crash_report>& reports,
                      const instance_id& upstream, const std::string& reason);
    void record_part_crashes(const std::vector<crash_report>& reports,
                             time_point now);
    void merge_record(const message::crash_record& record,
                      const std::string& reason);
    [[nodiscard]] crash_ledger& ledger_of(message::crash_subject subject);
    void begin_quarantine(const request_content& content,
                          message::crash_subject subject,
                          const std::string& reason);
    [[nodiscard]] std::size_t
    own_trial_rank(const request_content& content) const;
    void persist(const request_content& content, const crash_ledger& records);
    void end_quarantine(const request_content& content,
                        const std::string& event);

    stream_client& client;
    metrics& counters;
    quarantine_callback notify_quarantined;
    change_callback notify_records_changed;
    persist_callback persist_record;
    trial_rank rank_for_trials;
    crash_ledger ledger;
    crash_ledger part_ledger{crash_limits::for_prompt_parts()};
    lost_attempt_tracker tracker;
};

} // namespace coursejunction

#endif
