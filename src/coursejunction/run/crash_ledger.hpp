/*! @file
 * @brief Counts upstreams that crashed under a request, whichever entry sent it
 * and whichever id it had; pure.
 *
 * Each entry keeps a ledger and reports its own observations to the others. A
 * record is a set of crash ids, so that ledgers may be merged in any order and
 * repeatedly. A request that ran on an upstream when it crashed, but did not
 * cause the crash, is called a bystander.
 */
#ifndef COURSEJUNCTION_RUN_CRASH_LEDGER_HPP
#define COURSEJUNCTION_RUN_CRASH_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/run/crash_evidence.hpp"
#include "coursejunction/run/recent_responses.hpp"
#include "coursejunction/wire/crash_record.hpp"

namespace coursejunction
{

/*! @brief How a request is treated because of its crashes. */
enum class crash_status : std::uint8_t
{
    clear,       /*!< No crash counts against it. */
    suspect,     /*!< Some crashes count; few copies run at a time. */
    quarantined, /*!< It is not sent to upstreams. */
    on_trial     /*!< After a quarantine: one entry runs one copy. */
};

/*! @brief Limits of a ledger. */
struct crash_limits
{
    /*! @brief Total weight of crashes that quarantines a request, which is
     * three crashes before any response. Of the
     * requests on a crashed upstream all but one are bystanders, 15 of 16 where
     * it runs 16 at the same time. A bystander can meet a second crash, because
     * its caller retries once. A third one is no coincidence. */
    std::size_t quarantine_threshold{6};
    /*! @brief Duration of a quarantine, from the last crash, unless a trial has
     * failed; after it a trial tells bystanders from causes. It is short
     * because a popular request is a bystander of whatever crashes three
     * upstreams: with ten minutes it would be refused some 20 times a second
     * (629 to 898 times in 35 s of a soak test). Reports of crashes reach all
     * entries within 0.4 s, and upstreams restart within some seconds. */
    milliseconds first_quarantine{2'000};
    /*! @brief Duration of a quarantine after a doubtful trial, see
     * `crash_ledger`. It is longer than the first one because what crashes
     * upstreams for another reason may go on, and short because the request may
     * be harmless and popular. */
    milliseconds second_quarantine{4'000};
    /*! @brief Doubtful trials that weigh as much as a failed one. */
    std::size_t doubtful_trials{2};
    /*! @brief Duration of a quarantine after a failed trial: a request that
     * always crashes its upstream costs one upstream every ten minutes. */
    milliseconds repeat_quarantine{600'000};
    /*! @brief How long a request stays untried before further entries may run
     * its trial too. It is longer than `max_proof_delay`, so that these know of
     * a trial that has failed. */
    milliseconds trial_turn{5'000};
    /*! @brief Consecutive responses that pass a trial. A request that crashes
     * every third upstream passes with a probability of 0.3. */
    std::size_t trial_responses{3};
    /*! @brief Responses that outweigh one crash: a request that crashes less
     * than one in five of its upstreams counts as a bystander. */
    std::size_t responses_per_crash{4};
    /*! @brief Whether received records are passed on. This is needed where each
     * process has a few neighbours only. Where all report to all, every entry
     * would send as many records as the one that observed the crashes. */
    bool relays_records{false};
    /*! @brief Records are dropped this long after the last crash, so that ten
     * minutes remain for a trial after the longest quarantine. */
    milliseconds retention{1'200'000};
    /*! @brief Records kept, 300 bytes each. A crash of 64 upstreams with 16
     * requests each makes 1,024. */
    std::size_t max_records{2048};
    /*! @brief Crashes kept in a record: those that quarantine it, and some that
     * happen until all entries have received the reports. */
    std::size_t max_crashes{8};
    /*! @brief Whether a single response disproves all crashes before it. */
    bool response_disproves{false};
    /*! @brief Whether the crashes of a quarantined record no longer count
     * against others. */
    bool explains_crashes{false};
    message::crash_subject subject{message::crash_subject::request};

    /*! @brief Returns the limits for parts of prompts. A harmful part is on
     * every upstream that it crashes and in no complete response. Sound parts
     * are on crashed upstreams beside it, so that many more records than those
     * of requests are innocent. */
    [[nodiscard]] static crash_limits for_prompt_parts()
    {
        crash_limits limits;
        limits.quarantine_threshold = 5;
        limits.first_quarantine = milliseconds(10'000);
        limits.second_quarantine = milliseconds(120'000);
        limits.max_records = 512;
        limits.max_crashes = 24;
        limits.response_disproves = true;
        limits.explains_crashes = true;
        limits.subject = message::crash_subject::prompt_part;
        return limits;
    }
};

/*! @brief The crash records of one entry.
 *
 * A trial has failed if its upstream crashed before any response to it. It is
 * doubtful if its response had begun, or if the same crash ended a trial of
 * another request: the crash may have another reason then. */
class crash_ledger
{
public:
    /*! @brief Records that fit into a datagram, at some 100 bytes each. */
    static constexpr std::size_t max_records_per_datagram = 12;

    explicit crash_ledger(crash_limits initial = {}) : limits(initial) {}

    /*! @brief Records that an upstream crashed under a request, unless its
     * recent responses outweigh the crash.
     * @return Whether the request is quarantined by this crash. */
    bool record_crash(const request_content& content, const crash_id& crash,
                      crash_evidence evidence, time_point now);

    /*! @brief Records a complete response. Once the responses show that the
     * request is a bystander, or have passed its trial, its crashes no longer
     * count.
     * @return Whether that cleared the request now. */
    bool record_response(const request_content& content, time_point now);

    /*! @brief Clears all crashes of a request, quarantined or not. Called for
     * an operator, and once the responses clear the request.
     * @return Whether there were any to clear. */
    bool lift_quarantine(const request_content& content, time_point now);

    [[nodiscard]] crash_status status(const request_content& content,
                                      time_point now) const;

    /*! @brief Returns whether an entry may run the trial of a request. The
     * first one by rank may at once. All callers may ask others, so that the
     * second one may after one turn, two more after the next, and then twice as
     * many each time. Turns are counted from when this process knew of the last
     * crash, as all processes may have been down meanwhile.
     * @param rank Place of this entry in an order that all entries agree on. */
    [[nodiscard]] bool may_run_trial(const request_content& content,
                                     std::size_t rank, time_point now) const;

    /*! @brief Returns how many copies of a request this entry may run at the
     * same time. Each response allows one more, so that a bystander is soon
     * served as before.
     * @param runs_trials Whether this entry may run the trial of the request.
     */
    [[nodiscard]] std::size_t max_running(const request_content& content,
                                          bool runs_trials,
                                          time_point now) const;

    /*! @brief Returns the remaining time of a request's quarantine. */
    [[nodiscard]] milliseconds quarantine_left(const request_content& content,
                                               time_point now) const;

    /*! @brief Merges a record of another ledger; ignores one without crashes or
     * with a last crash longer ago than the retention.
     * @return Whether the request is quarantined by it. */
    bool merge(const message::crash_record& received, time_point now);

    /*! @brief Returns the records to report to the others: those changed since
     * the last call, then those changed lately, and at intervals one blocked
     * record in turn, for entries that were unreachable.
     * @param max_count Limit that makes the records fit into a datagram. */
    [[nodiscard]] std::vector<message::crash_record>
    collect_updates(std::size_t max_count, time_point now);

    /*! @brief Returns a request's record as it is sent. */
    [[nodiscard]] message::crash_record record(const request_content& content,
                                               time_point now) const;

    /*! @brief Returns whether a record changed since the last
     * `collect_updates`.
     */
    [[nodiscard]] bool has_pending_updates() const
    {
        return last_change != reported_change;
    }

    /*! @brief Drops records whose last crash is longer ago than the retention.
     */
    void expire(time_point now);

    /*! @brief Returns what its crashes are counted against. */
    [[nodiscard]] message::crash_subject subject() const
    {
        return limits.subject;
    }

    [[nodiscard]] const std::map<request_content, crash_history>&
    histories() const
    {
        return records;
    }

    /*! @brief Returns whether a request is quarantined or on trial. */
    [[nodiscard]] bool is_blocked(const request_content& content) const;

    /*! @brief Returns how many requests are quarantined or on trial. */
    [[nodiscard]] std::size_t blocked_count() const;

private:
    [[nodiscard]] bool blocked(const crash_history& history) const;
    [[nodiscard]] bool quarantined(const crash_history& history,
                                   time_point now) const;
    [[nodiscard]] bool shared_with_trial(const crash_history& history,
                                         const crash_id& crash) const;
    [[nodiscard]] milliseconds
    quarantine_duration(const crash_history& history) const;
    bool clear_if_bystander(const request_content& content,
                            crash_history& history, time_point now);
    bool outweighs_crash(const request_content& content, time_point now);
    bool make_room(crash_history& history, crash_evidence evidence) const;
    bool insert(crash_history& history, const crash_id& crash,
                crash_evidence evidence) const;
    void explain_crashes(const crash_history& cause);
    void note_change(crash_history& history, time_point now);
    crash_history& find_or_create(const request_content& content,
                                  time_point last_crash);
    void drop_oldest_unblocked();
    [[nodiscard]] std::map<std::uint64_t, request_content>
    unreported_changes() const;
    void add_recent_changes(std::vector<message::crash_record>& selected,
                            std::size_t max_count, time_point now);
    void add_blocked_in_turn(std::vector<message::crash_record>& selected,
                             std::size_t max_count, time_point now);

    crash_limits limits;
    std::map<request_content, crash_history> records;
    recent_responses responses;
    request_content last_in_turn; /*!< Last record reported in turn. */
    time_point turn_reported_at{};
    std::uint64_t last_change{0};
    std::uint64_t reported_change{0};
};

} // namespace coursejunction

#endif
