/*! @file
 * @brief Simulates entries, engines and callers in virtual time, with requests
 * that crash the engines that run them: how many crashes the ledgers of all
 * entries let happen, and how many innocent requests they block.
 */
#ifndef COURSEJUNCTION_TESTS_RUN_CRASH_SIMULATION_HPP
#define COURSEJUNCTION_TESTS_RUN_CRASH_SIMULATION_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/run/crash_ledger.hpp"
#include "coursejunction/run/crash_updates.hpp"
#include "coursejunction/run/lost_attempt_tracker.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace crash_simulation
{

using namespace coursejunction;
using namespace std::chrono_literals;

/*! @brief Parameters of a simulation. */
struct scenario
{
    std::size_t entries{5};
    std::size_t engines{20};
    std::size_t slots{16}; /*!< Requests that an engine runs at a time. */
    double load{0.5}; /*!< Fraction of slots in use by innocent requests. */
    double datagram_loss{0.05}; /*!< Fraction of datagrams lost. */
    /*! @brief Time between harmful copies; 0: none are sent. */
    milliseconds copy_interval{0};
    std::size_t copies_at_once{1};
    std::size_t harmful_contents{1}; /*!< Number of different ones. */
    /*! @brief Whether no two harmful requests are alike: one part of their
     * prompts crashes the engines. All requests share their first part, and
     * each has a second one of `subjects`. */
    bool harmful_part{false};
    std::size_t subjects{200};     /*!< Parts that some requests share. */
    double crash_probability{1};   /*!< Of a run of a harmful request. */
    double killed_fraction{0};     /*!< Of the engines, for other reasons. */
    milliseconds kill_duration{0}; /*!< From the first to the last of them. */
    /*! @brief From the start of a harmful attempt until its engine crashes. */
    milliseconds crash_time{70};
    /*! @brief Callers that ask for one innocent content again and again. */
    std::size_t popular_callers{0};
    /*! @brief Whether all of them ask one entry, and its place among those that
     * run the trials of that content. */
    bool popular_at_one_entry{false};
    std::size_t popular_entry_rank{0};
    /*! @brief Trials of that content whose engine is killed. */
    std::size_t killed_trials{0};
    milliseconds trial_kill_time{500}; /*!< From the start of such a trial. */
    milliseconds resend_delay{25}; /*!< Before a lost request is sent again. */
    milliseconds duration{12'000};
    std::uint32_t seed{1};
    crash_limits limits;
};

/*! @brief Result of a simulation. */
struct simulation_result
{
    std::size_t crashed{0}; /*!< Engines, by harmful requests. */
    /*! @brief Crashes more than 3 s after the third one of the same content; of
     * the content with the most. */
    std::size_t crashed_late{0};
    std::size_t blocked_innocent{0}; /*!< Innocent contents, at any entry. */
    std::size_t requests{0};         /*!< Innocent requests that were sent. */
    std::size_t answered{0};         /*!< Innocent requests. */
    std::size_t refused{0}; /*!< Innocent requests, because of a ledger. */
    std::size_t killed_trials{0};    /*!< Of the popular content. */
    std::size_t popular_answered{0}; /*!< In the last 4 s. */
    std::size_t popular_refused{0};  /*!< In the last 4 s. */
    /*! @brief Harmful requests sent later than 3 s after the fifth crash. */
    std::size_t harmful_sent_late{0};
    std::size_t blocked_parts{0}; /*!< Sound parts blocked at any entry. */
    /*! @brief Innocent requests in the last 4 s, by the first attempt's fate.
     */
    std::size_t calm_sent{0};
    std::size_t calm_refused{0};
    double bytes_per_second{0}; /*!< Of records, sent by one entry. */
};

/*! @brief One run of a scenario. */
class simulation
{
public:
    explicit simulation(scenario chosen)
        : config(chosen), generator(chosen.seed)
    {
        for (std::size_t at = 0; at < config.entries; ++at)
            entries.push_back({crash_ledger(config.limits),
                               crash_ledger(crash_limits::for_prompt_parts()),
                               {},
                               {}});
        engines.resize(config.engines);
    }

    simulation_result run()
    {
        for (std::size_t at = 0; at < entries.size(); ++at)
            schedule(random_duration(0ms, heartbeat_interval),
                     [this, at] { send_heartbeat(at); });
        send_innocent();
        for (std::size_t at = 0; at < config.popular_callers; ++at)
            schedule(random_duration(0ms, run_time), [this] { ask_popular(); });
        for (std::size_t which = 0; which < config.harmful_contents; ++which)
        {
            if (config.copy_interval > 0ms)
                schedule(1000ms, [this, which] { send_copies(which); });
        }
        plan_kills();
        while (!events.empty() && events.top().at <= start + config.duration)
        {
            const auto next = events.top();
            events.pop();
            now = next.at;
            next.action();
        }
        return evaluate();
    }

private:
    static constexpr milliseconds heartbeat_interval{400};
    static constexpr milliseconds network_delay{3};
    static constexpr milliseconds probe_delay{6};
    /*! @brief After the third crash of a content; later crashes count as late.
     */
    static constexpr milliseconds containment_time{3000};
    static constexpr milliseconds restart_time{3000};
    /*! @brief From the start of an attempt until its response begins. */
    static constexpr milliseconds first_event_time{250};
    static constexpr milliseconds run_time{900};
    /*! @brief Before the end of the run; the popular content's requests then
     * are counted. */
    static constexpr milliseconds calm_time{4000};
    static constexpr time_point start{100s};

    struct attempt
    {
        request_content content;
        std::size_t entry{0};
        std::size_t engine{0};
        std::uint64_t incarnation_number{0};
        time_point started_at{};
        bool trial{false};
        std::size_t resends{0};        /*!< Earlier attempts of the request. */
        std::size_t client_retries{0}; /*!< Earlier requests of the caller. */
        int harmful_index{-1};         /*!< -1: an innocent request. */
        std::vector<request_content> parts; /*!< Shared ones of its prompt. */
        std::optional<request_content> part_on_trial;
    };

    using attempt_pointer = std::shared_ptr<attempt>;

    struct engine_state
    {
        std::uint64_t incarnation_number{1};
        bool is_up{true};
        std::vector<attempt_pointer> running;
    };

    struct entry_state
    {
        crash_ledger ledger;
        crash_ledger part_ledger;
        lost_attempt_tracker tracker;
        std::map<request_content, std::size_t> in_flight;
    };

    struct event
    {
        time_point at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const event& other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    void schedule(milliseconds pause, std::function<void()> action)
    {
        events.push({now + pause, ++last_event, std::move(action)});
    }

    milliseconds random_duration(milliseconds from, milliseconds to)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(
            from.count(), to.count())(generator));
    }

    std::size_t random_index(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(generator);
    }

    bool random_bool(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(generator) <
               probability;
    }

    // Callers.

    void send_innocent()
    {
        const double slots = static_cast<double>(config.engines) *
                             static_cast<double>(config.slots);
        const double rate = config.load * slots / to_seconds(run_time);
        const double pause =
            std::exponential_distribution<double>(rate)(generator);
        events.push({now + from_seconds(pause), ++last_event,
                     [this]
                     {
                         send_innocent();
                         const auto body = std::to_string(++innocent_count);
                         request(request_content::of("school", "/", body), -1,
                                 0);
                     }});
    }

    static request_content popular_content()
    {
        return request_content::of("school", "/", "popular");
    }

    void ask_popular() { request(popular_content(), -1, 0); }

    /*! @brief A caller of the popular content asks again after each result. */
    void ask_popular_again(const attempt& done, bool answered)
    {
        if (done.content != popular_content())
            return;
        if (now >= start + config.duration - calm_time)
            ++(answered ? counters.popular_answered : counters.popular_refused);
        schedule(answered ? 100ms : 300ms, [this] { ask_popular(); });
    }

    void send_copies(std::size_t which)
    {
        for (std::size_t at = 0; at < config.copies_at_once; ++at)
        {
            const auto body = config.harmful_part
                                  ? "copy " + std::to_string(++harmful_count)
                                  : std::to_string(which);
            request(request_content::of("bad", "/", body),
                    static_cast<int>(which), 0);
        }
        schedule(config.copy_interval, [this, which] { send_copies(which); });
    }

    void request(const request_content& content, int harmful_index,
                 std::size_t client_retries)
    {
        auto one = std::make_shared<attempt>();
        one->content = content;
        one->entry = random_index(entries.size());
        if (config.popular_at_one_entry && content == popular_content())
            one->entry = popular_entry();
        one->harmful_index = harmful_index;
        one->client_retries = client_retries;
        if (config.harmful_part)
            one->parts = parts_of(*one);
        if (harmful_index < 0 && client_retries == 0)
        {
            ++counters.requests;
            counters.calm_sent += is_calm() ? 1 : 0;
        }
        dispatch(one);
    }

    [[nodiscard]] bool is_calm() const
    {
        return now >= start + config.duration - calm_time;
    }

    static request_content harmful_part(int which)
    {
        return request_content::of_part("s", "bad " + std::to_string(which));
    }

    /*! @brief Returns the shared parts of a prompt. A harmful one has the parts
     * of a sound one, and one more. */
    std::vector<request_content> parts_of(const attempt& one)
    {
        std::vector<request_content> parts{
            request_content::of_part("s", "first"),
            request_content::of_part(
                "s", std::to_string(random_index(config.subjects)))};
        if (one.harmful_index >= 0)
            parts.push_back(harmful_part(one.harmful_index));
        return parts;
    }

    /*! @brief Fails a request; its caller retries once. */
    void fail(const attempt_pointer& one)
    {
        if (one->content == popular_content())
            return ask_popular_again(*one, false);
        if (one->harmful_index < 0 && one->client_retries == 0)
            schedule(300ms, [this, one] { request(one->content, -1, 1); });
    }

    // Entries; a simplified copy of the logic of the service.

    /*! @brief Returns whether no part of the prompt is quarantined, or this is
     * a trial of it. */
    bool passes_part_guard(attempt& one)
    {
        const auto& entry = entries[one.entry];
        const auto blocked =
            std::find_if(one.parts.begin(), one.parts.end(),
                         [&](const auto& part)
                         { return entry.part_ledger.is_blocked(part); });
        one.part_on_trial.reset();
        if (blocked == one.parts.end())
            return true;
        one.part_on_trial = *blocked;
        return one.resends == 0 &&
               entry.part_ledger.may_run_trial(
                   *blocked, trial_rank(*blocked, one.entry), now) &&
               std::none_of(engines.begin(), engines.end(),
                            [&](const auto& engine)
                            { return runs_part(engine, one); });
    }

    template <typename Engine>
    static bool runs_part(const Engine& engine, const attempt& one)
    {
        return std::any_of(engine.running.begin(), engine.running.end(),
                           [&](const auto& other)
                           {
                               return other->entry == one.entry &&
                                      other->part_on_trial == one.part_on_trial;
                           });
    }

    void dispatch(const attempt_pointer& one)
    {
        auto& entry = entries[one->entry];
        if (!passes_part_guard(*one))
        {
            const bool sound = one->harmful_index < 0;
            counters.refused += sound ? 1 : 0;
            counters.calm_refused +=
                sound && is_calm() && one->resends == 0 ? 1 : 0;
            return fail(one);
        }
        const auto status = entry.ledger.status(one->content, now);
        const bool trial = status == crash_status::on_trial;
        const auto limit = entry.ledger.max_running(
            one->content,
            trial &&
                entry.ledger.may_run_trial(
                    one->content, trial_rank(one->content, one->entry), now),
            now);
        if (limit == 0 || (trial && one->resends > 0))
        {
            counters.refused += one->harmful_index < 0 ? 1 : 0;
            return fail(one);
        }
        if (entry.in_flight[one->content] >= limit)
            return fail(one);
        one->trial = trial;
        send(one);
    }

    std::size_t trial_rank(const request_content& content,
                           std::size_t entry) const
    {
        const auto weight_of = [&](std::size_t at)
        { return rendezvous_weight(content.hex(), std::to_string(at)); };
        std::size_t rank = 0;
        for (std::size_t at = 0; at < entries.size(); ++at)
            rank += weight_of(at) > weight_of(entry) ? 1 : 0;
        return rank;
    }

    /*! @brief Returns the entry of a rank among those that run the trials of
     * the popular content. */
    std::size_t popular_entry() const
    {
        std::size_t at = 0;
        while (trial_rank(popular_content(), at) != config.popular_entry_rank)
            ++at;
        return at;
    }

    void send(const attempt_pointer& one)
    {
        const bool suspect = is_suspect(*one);
        for (int draws = 0; draws < 40; ++draws)
        {
            const auto at = random_index(engines.size());
            auto& engine = engines[at];
            const bool avoid =
                suspect && draws < 20 &&
                std::any_of(engine.running.begin(), engine.running.end(),
                            [&](const auto& other) {
                                return other->entry == one->entry &&
                                       is_suspect(*other);
                            });
            if (!engine.is_up || engine.running.size() >= config.slots || avoid)
                continue;
            start_attempt(one, at);
            return;
        }
        fail(one);
    }

    bool is_suspect(const attempt& one) const
    {
        const auto& entry = entries[one.entry];
        return entry.ledger.status(one.content, now) != crash_status::clear ||
               entry.tracker.has_unexplained_loss(one.content, now);
    }

    void start_attempt(const attempt_pointer& one, std::size_t at)
    {
        one->engine = at;
        one->incarnation_number = engines[at].incarnation_number;
        one->started_at = now;
        engines[at].running.push_back(one);
        if (one->harmful_index >= 0 && config.harmful_part)
            harmful_sends.push_back(now);
        ++entries[one->entry].in_flight[one->content];
        const bool crashes =
            one->harmful_index >= 0 && random_bool(config.crash_probability);
        kill_trial(*one);
        schedule(crashes ? config.crash_time : run_time,
                 [this, one, crashes]
                 {
                     auto& engine = engines[one->engine];
                     if (!engine.is_up ||
                         engine.incarnation_number != one->incarnation_number)
                         return;
                     if (crashes)
                         count_crash(one->harmful_index), crash(one->engine);
                     else
                         finish(one);
                 });
    }

    /*! @brief Plans to kill the engine of a trial of the popular content. */
    void kill_trial(const attempt& one)
    {
        if (!one.trial || one.content != popular_content() ||
            counters.killed_trials >= config.killed_trials)
            return;
        ++counters.killed_trials;
        schedule(config.trial_kill_time,
                 [this, at = one.engine, life = one.incarnation_number]
                 {
                     if (engines[at].is_up &&
                         engines[at].incarnation_number == life)
                         crash(at);
                 });
    }

    void finish(const attempt_pointer& one)
    {
        ask_popular_again(*one, true);
        std::erase(engines[one->engine].running, one);
        remove_in_flight(*one);
        counters.answered += one->harmful_index < 0 ? 1 : 0;
        auto& entry = entries[one->entry];
        bool cleared = entry.ledger.record_response(one->content, now);
        for (const auto& part : one->parts)
        {
            const bool was_blocked = entry.part_ledger.is_blocked(part);
            cleared =
                (entry.part_ledger.record_response(part, now) && was_blocked) ||
                cleared;
        }
        if (cleared)
            report_to_all(one->entry);
    }

    void remove_in_flight(const attempt& one)
    {
        auto& in_flight = entries[one.entry].in_flight;
        if (--in_flight[one.content] == 0)
            in_flight.erase(one.content);
    }

    // Crashes of engines.

    void count_crash(int harmful_index)
    {
        ++counters.crashed;
        crashes_by_content[harmful_index].push_back(now);
    }

    void plan_kills()
    {
        const auto count = static_cast<std::size_t>(
            config.killed_fraction * static_cast<double>(config.engines));
        for (std::size_t at = 0; at < count; ++at)
            schedule(2000ms + random_duration(0ms, config.kill_duration),
                     [this, at]
                     {
                         if (engines[at].is_up)
                             crash(at);
                     });
    }

    void crash(std::size_t at)
    {
        auto& engine = engines[at];
        engine.is_up = false;
        const auto lost = std::exchange(engine.running, {});
        schedule(restart_time,
                 [this, at]
                 {
                     engines[at].is_up = true;
                     ++engines[at].incarnation_number;
                 });
        for (const auto& one : lost)
            schedule(network_delay, [this, one] { lose_attempt(one); });
    }

    void lose_attempt(const attempt_pointer& one)
    {
        remove_in_flight(*one);
        auto& entry = entries[one->entry];
        const instance_id engine(std::to_string(one->engine));
        const auto evidence =
            evidence_of(one->trial, now - one->started_at >= first_event_time);
        const auto crash =
            crash_id_of(engine, incarnation(one->incarnation_number));
        if (entry.tracker.add_lost_attempt({engine,
                                            "",
                                            {one->content, crash, evidence,
                                             one->parts, one->part_on_trial}},
                                           now))
            schedule(probe_delay, [this, at = one->entry, engine]
                     { report_crash(at, engine); });
        if (one->resends > 0)
            return fail(one);
        auto next = std::make_shared<attempt>(*one);
        ++next->resends;
        schedule(config.resend_delay, [this, next] { dispatch(next); });
    }

    void report_crash(std::size_t at, const instance_id& engine)
    {
        auto& entry = entries[at];
        for (const auto& one :
             entry.tracker.confirm_crash(engine, crash_proof::confirmed, now))
        {
            entry.ledger.record_crash(one.content, one.crash, one.evidence,
                                      now);
            for (const auto& part : one.shared_parts)
                entry.part_ledger.record_crash(part, one.crash,
                                               one.evidence_of_part(part), now);
        }
        report_to_all(at);
    }

    // Heartbeats.

    void send_heartbeat(std::size_t at)
    {
        report_to_all(at);
        schedule(heartbeat_interval, [this, at] { send_heartbeat(at); });
    }

    void report_to_all(std::size_t from)
    {
        auto records = std::make_shared<std::vector<message::crash_record>>(
            collect_crash_updates(entries[from].part_ledger,
                                  entries[from].ledger, now));
        if (records->empty())
            return;
        message::fleet_heartbeat heartbeat;
        heartbeat.entry = true;
        heartbeat.crashes = *records;
        bytes_sent += (encode(heartbeat).size() - encode(empty()).size()) *
                      (entries.size() - 1);
        for (std::size_t to = 0; to < entries.size(); ++to)
        {
            if (to == from || random_bool(config.datagram_loss))
                continue;
            schedule(network_delay,
                     [this, to, records]
                     {
                         for (const auto& one : *records)
                             merge(entries[to], one);
                     });
        }
    }

    void merge(entry_state& entry, const message::crash_record& record)
    {
        (record.subject == message::crash_subject::prompt_part
             ? entry.part_ledger
             : entry.ledger)
            .merge(record, now);
    }

    static message::fleet_heartbeat empty()
    {
        message::fleet_heartbeat made;
        made.entry = true;
        return made;
    }

    simulation_result evaluate()
    {
        std::map<request_content, bool> blocked;
        for (const auto& entry : entries)
        {
            for (const auto& [content, one] : entry.ledger.histories())
            {
                const auto status = entry.ledger.status(content, now);
                if (status == crash_status::quarantined ||
                    status == crash_status::on_trial)
                    blocked[content] = true;
            }
        }
        for (std::size_t which = 0; which < config.harmful_contents; ++which)
            blocked.erase(
                request_content::of("bad", "/", std::to_string(which)));
        counters.blocked_innocent = blocked.size();
        evaluate_parts();
        for (const auto& [which, crashes] : crashes_by_content)
        {
            const auto late = std::count_if(
                crashes.begin(), crashes.end(),
                [&, first = crashes](time_point at) {
                    return first.size() > 3 && at > first[2] + containment_time;
                });
            counters.crashed_late =
                std::max(counters.crashed_late, static_cast<std::size_t>(late));
        }
        counters.bytes_per_second = static_cast<double>(bytes_sent) /
                                    static_cast<double>(entries.size()) /
                                    to_seconds(config.duration);
        return counters;
    }

    void evaluate_parts()
    {
        std::set<request_content> blocked;
        for (const auto& entry : entries)
        {
            for (const auto& [part, one] : entry.part_ledger.histories())
            {
                if (entry.part_ledger.is_blocked(part))
                    blocked.insert(part);
            }
        }
        for (std::size_t which = 0; which < config.harmful_contents; ++which)
            blocked.erase(harmful_part(static_cast<int>(which)));
        counters.blocked_parts = blocked.size();
        constexpr std::size_t fifth = 4;
        const auto& crashes = crashes_by_content[0];
        if (crashes.size() <= fifth)
            return;
        counters.harmful_sent_late = static_cast<std::size_t>(
            std::count_if(harmful_sends.begin(), harmful_sends.end(),
                          [&](time_point at)
                          { return at > crashes[fifth] + containment_time; }));
    }

    scenario config;
    std::mt19937 generator;
    time_point now{start};
    std::vector<entry_state> entries;
    std::vector<engine_state> engines;
    std::priority_queue<event> events;
    std::uint64_t last_event{0};
    std::uint64_t innocent_count{0};
    std::uint64_t harmful_count{0};
    std::vector<time_point> harmful_sends;
    std::uint64_t bytes_sent{0};
    std::map<int, std::vector<time_point>> crashes_by_content;
    simulation_result counters;
};

} // namespace crash_simulation

#endif
