/*! @file
 * @brief Counts the upstreams that ended under a request, whichever entry sent
 * it and under whichever id it came; pure.
 *
 * Each entry keeps a ledger and tells the others what it saw itself. A record
 * is a set of upstreams' ends, so that it does not matter how often and in
 * which order two ledgers are merged.
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

/*! @brief What is believed of a request. */
enum class crash_status : std::uint8_t
{
    clear,       /*!< No upstream ended under it. */
    suspect,     /*!< Some did; its next runs tell more. */
    quarantined, /*!< So many did that it is not sent. */
    on_trial     /*!< Its quarantine is over: one entry runs one copy. */
};

/*! @brief Limits of a ledger. */
struct crash_limits
{
    /*! @brief What the ends weigh by which a request is quarantined. Of one
     * end a request is a bystander, 15 in 16 where an upstream runs 16; of two
     * ends a caller's one retry may still be; three need a cause. */
    std::size_t quarantine_threshold{6};
    /*! @brief A first quarantine lasts so long after the last end, then a trial
     * shows what the ends could not: a request that all ask for is beside
     * whatever ends three upstreams, and was refused 629 to 898 times in a soak
     * of 35 s while it was kept away for ten minutes. The news of ends needs
     * 0.4 s to reach all entries, and upstreams are back after some seconds. */
    milliseconds first_quarantine{2'000};
    /*! @brief A quarantine after a trial that ended an upstream: a request that
     * never gets better costs one in ten minutes. */
    milliseconds repeat_quarantine{600'000};
    /*! @brief Answers in a row by which a trial is passed. A request that ends
     * every third upstream passes three times in ten. */
    std::size_t trial_responses{3};
    /*! @brief Answers that speak for one end each: a request that ends less
     * than one in five of its upstreams is taken for a bystander. */
    std::size_t responses_per_crash{4};
    /*! @brief Whether what others told is told on: where each process has a few
     * neighbours. Where all tell all, that would be as many records from every
     * entry as from the one that saw the ends. */
    bool relays_records{false};
    /*! @brief Records are forgotten so long after the last end; a quarantine
     * that is over has ten minutes more for its trial. */
    milliseconds retention{1'200'000};
    /*! @brief Records kept, 300 bytes each. The end of 64 upstreams of 16
     * requests makes 1,024. */
    std::size_t max_records{2048};
};

/*! @brief The records of one entry. */
class crash_ledger
{
public:
    /*! @brief Records in one datagram: 12 of some 100 bytes. */
    static constexpr std::size_t max_records_per_datagram = 12;

    explicit crash_ledger(crash_limits set = {}) : limits(set) {}

    /*! @brief Notes that an upstream ended under a request, unless its answers
     * of the last while speak for it.
     * @return Whether that quarantines it. */
    bool record_crash(const request_content& what, const crash_id& end,
                      crash_evidence evidence, time_point now);

    /*! @brief An upstream answered a request in whole. With so many answers
     * that it is a bystander, what ended under it counts no longer.
     * @return Whether it was doubted until now. */
    bool record_response(const request_content& what, time_point now);

    /*! @brief An operator ends the quarantine of a request.
     * @return Whether there was one to end. */
    bool lift_quarantine(const request_content& what, time_point now);

    [[nodiscard]] crash_status status(const request_content& what,
                                      time_point now) const;

    /*! @brief Returns how many copies of a request may run here at once. Each
     * answer admits one more, so that a bystander is soon served as before.
     * @param tries_it Whether trials of this request are this entry's. */
    [[nodiscard]] std::size_t max_running(const request_content& what,
                                          bool tries_it, time_point now) const;

    /*! @brief Returns how long a request's quarantine still lasts. */
    [[nodiscard]] milliseconds quarantine_left(const request_content& what,
                                               time_point now) const;

    /*! @brief Takes a record of another ledger.
     * @return Whether that quarantines the request. */
    bool merge(const message::crash_record& told, time_point now);

    /*! @brief Returns records to tell others: first those that changed since
     * the last call, then those that changed lately, and now and then one
     * of those that are suspected, in turn, so that who was cut off learns
     * them.
     * @param most Records at most, so that they fit a datagram. */
    [[nodiscard]] std::vector<message::crash_record>
    collect_updates(std::size_t most, time_point now);

    /*! @brief Returns a request's record as it is told. */
    [[nodiscard]] message::crash_record record(const request_content& what,
                                               time_point now) const;

    /*! @brief Tells whether a record changed since `collect_updates` was asked
     * for. */
    [[nodiscard]] bool has_pending_updates() const
    {
        return last_change != told_change;
    }

    /*! @brief Forgets records whose last end is long past. */
    void expire(time_point now);

    [[nodiscard]] const std::map<request_content, crash_history>&
    histories() const
    {
        return records;
    }

    /*! @brief Tells whether a request is quarantined or on trial. */
    [[nodiscard]] bool is_blocked(const request_content& what) const;

    /*! @brief Returns how many requests are quarantined or on trial. */
    [[nodiscard]] std::size_t blocked_count() const;

private:
    [[nodiscard]] bool blocked(const crash_history& one) const;
    [[nodiscard]] bool quarantined(const crash_history& one,
                                   time_point now) const;
    [[nodiscard]] milliseconds lasts(const crash_history& one) const;
    bool speaks_for(const request_content& what, crash_history& one,
                    time_point now);
    void changed(crash_history& one, time_point now);
    crash_history& found_or_made(const request_content& what, time_point last);
    void drop_one();
    [[nodiscard]] std::map<std::uint64_t, request_content> untold() const;
    void repeat(std::vector<message::crash_record>& made, std::size_t most,
                time_point now);
    void add_suspected(std::vector<message::crash_record>& made,
                       std::size_t most, time_point now);

    crash_limits limits;
    std::map<request_content, crash_history> records;
    recent_responses answers;
    request_content turn; /*!< The last record that was told in turn. */
    time_point told_turn{};
    std::uint64_t last_change{0};
    std::uint64_t told_change{0};
};

} // namespace coursejunction

#endif
