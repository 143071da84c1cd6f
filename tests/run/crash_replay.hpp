/*! @file
 * @brief Entries, engines and callers in virtual time, with a request that ends
 * the engines which begin to run it: what the ledgers of all entries together
 * let through, and what they keep from being served by mistake.
 */
#ifndef COURSEJUNCTION_TESTS_RUN_CRASH_REPLAY_HPP
#define COURSEJUNCTION_TESTS_RUN_CRASH_REPLAY_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/run/crash_ledger.hpp"
#include "coursejunction/run/lost_attempt_tracker.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace crash_replay
{

using namespace coursejunction;
using namespace std::chrono_literals;

/*! @brief What is replayed. */
struct scene
{
    std::size_t entries{5};
    std::size_t engines{20};
    std::size_t slots{16};      /*!< Of an engine. */
    double load{0.5};           /*!< Of all slots, by innocent requests. */
    double loss{0.05};          /*!< Of datagrams. */
    milliseconds copy_every{0}; /*!< Pause between two harmful copies; none. */
    std::size_t copies_at_once{1};
    std::size_t harmful{1};     /*!< Different harmful contents. */
    double harm{1};             /*!< Part of its runs that end the engine. */
    double killed{0};           /*!< Of the engines, by other causes. */
    milliseconds kills_last{0}; /*!< From the first of them to the last. */
    milliseconds verdict{25};   /*!< Before a lost request is sent again. */
    milliseconds lasts{12'000};
    std::uint32_t seed{1};
    crash_limits limits;
};

/*! @brief What happened. */
struct outcome_counts
{
    std::size_t ended{0}; /*!< Engines, by harmful requests. */
    /*! @brief Of the content with most: more than 3 s after its third end. */
    std::size_t ended_late{0};
    std::size_t suspected{0}; /*!< Innocent contents, at any entry. */
    std::size_t asked{0};     /*!< Innocent requests. */
    std::size_t answered{0};
    std::size_t turned_away{0}; /*!< Innocent ones, for the ledgers' sake. */
    double bytes{0};            /*!< Of records, an entry sends in a second. */
};

/*! @brief One run of a scene. */
class replay
{
public:
    explicit replay(scene what) : set(what), dice(what.seed)
    {
        for (std::size_t at = 0; at < set.entries; ++at)
            entries.push_back({crash_ledger(set.limits), {}, {}});
        engines.resize(set.engines);
    }

    outcome_counts run()
    {
        for (std::size_t at = 0; at < entries.size(); ++at)
            after(drawn(0ms, beat), [this, at] { beat_of(at); });
        ask_innocent();
        for (std::size_t which = 0; which < set.harmful; ++which)
        {
            if (set.copy_every > 0ms)
                after(1000ms, [this, which] { send_copies(which); });
        }
        plan_kills();
        while (!events.empty() && events.top().at <= start + set.lasts)
        {
            const auto next = events.top();
            events.pop();
            now = next.at;
            next.act();
        }
        return counted();
    }

private:
    static constexpr milliseconds beat{400};
    static constexpr milliseconds link{3};
    static constexpr milliseconds probe{6};
    static constexpr milliseconds contact{3000};
    static constexpr milliseconds away{3000};
    static constexpr milliseconds first_event{250};
    static constexpr milliseconds run_time{900};
    static constexpr milliseconds crash_time{70};
    static constexpr time_point start{100s};

    struct attempt
    {
        request_content content;
        std::size_t entry{0};
        std::size_t engine{0};
        std::uint64_t life{0};
        time_point begun{};
        bool trial{false};
        std::size_t runs{0};  /*!< Earlier attempts of this request. */
        std::size_t tries{0}; /*!< Earlier requests of this caller. */
        int harmful{-1};
    };

    using attempt_pointer = std::shared_ptr<attempt>;

    struct engine_state
    {
        std::uint64_t life{1};
        bool up{true};
        std::vector<attempt_pointer> running;
    };

    struct entry_state
    {
        crash_ledger ledger;
        lost_attempt_tracker witness;
        std::map<request_content, std::size_t> in_flight;
    };

    struct event
    {
        time_point at;
        std::uint64_t number;
        std::function<void()> act;
        bool operator<(const event& other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    void after(milliseconds pause, std::function<void()> act)
    {
        events.push({now + pause, ++last_event, std::move(act)});
    }

    milliseconds drawn(milliseconds from, milliseconds to)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(
            from.count(), to.count())(dice));
    }

    std::size_t any(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(dice);
    }

    bool chance(double part)
    {
        return std::uniform_real_distribution<double>(0, 1)(dice) < part;
    }

    // Callers.

    void ask_innocent()
    {
        const double slots =
            static_cast<double>(set.engines) * static_cast<double>(set.slots);
        const double rate = set.load * slots / to_seconds(run_time);
        const double pause = std::exponential_distribution<double>(rate)(dice);
        events.push({now + from_seconds(pause), ++last_event,
                     [this]
                     {
                         ask_innocent();
                         const auto body = std::to_string(++innocents);
                         request(request_content::of("school", "/", body), -1,
                                 0);
                     }});
    }

    void send_copies(std::size_t which)
    {
        const auto what =
            request_content::of("bad", "/", std::to_string(which));
        for (std::size_t at = 0; at < set.copies_at_once; ++at)
            request(what, static_cast<int>(which), 0);
        after(set.copy_every, [this, which] { send_copies(which); });
    }

    void request(const request_content& what, int harmful, std::size_t tries)
    {
        auto one = std::make_shared<attempt>();
        one->content = what;
        one->entry = any(entries.size());
        one->harmful = harmful;
        one->tries = tries;
        if (harmful < 0 && tries == 0)
            ++counts.asked;
        place(one);
    }

    /*! @brief A caller whose request failed comes back once. */
    void fails(const attempt_pointer& one)
    {
        if (one->harmful < 0 && one->tries == 0)
            after(300ms, [this, one] { request(one->content, -1, 1); });
    }

    // Entries; as the service does.

    void place(const attempt_pointer& one)
    {
        auto& entry = entries[one->entry];
        const auto standing = entry.ledger.status(one->content, now);
        const bool trial = standing == crash_status::on_trial;
        const auto most = entry.ledger.max_running(
            one->content, trial && owner(one->content) == one->entry, now);
        if (most == 0 || (trial && one->runs > 0))
        {
            counts.turned_away += one->harmful < 0 ? 1 : 0;
            return fails(one);
        }
        if (entry.in_flight[one->content] >= most)
            return fails(one);
        one->trial = trial;
        send(one);
    }

    std::size_t owner(const request_content& what) const
    {
        std::size_t best = 0;
        std::uint64_t most = 0;
        for (std::size_t at = 0; at < entries.size(); ++at)
        {
            const auto weight =
                rendezvous_weight(what.hex(), std::to_string(at));
            if (weight >= most)
            {
                most = weight;
                best = at;
            }
        }
        return best;
    }

    void send(const attempt_pointer& one)
    {
        const bool suspect = is_suspect(*one);
        for (int tries = 0; tries < 40; ++tries)
        {
            const auto at = any(engines.size());
            auto& engine = engines[at];
            const bool apart =
                suspect && tries < 20 &&
                std::any_of(engine.running.begin(), engine.running.end(),
                            [&](const auto& other) {
                                return other->entry == one->entry &&
                                       is_suspect(*other);
                            });
            if (!engine.up || engine.running.size() >= set.slots || apart)
                continue;
            begin(one, at);
            return;
        }
        fails(one);
    }

    bool is_suspect(const attempt& one) const
    {
        const auto& entry = entries[one.entry];
        return entry.ledger.status(one.content, now) != crash_status::clear ||
               entry.witness.has_unexplained_loss(one.content, now);
    }

    void begin(const attempt_pointer& one, std::size_t at)
    {
        one->engine = at;
        one->life = engines[at].life;
        one->begun = now;
        engines[at].running.push_back(one);
        ++entries[one->entry].in_flight[one->content];
        const bool ends = one->harmful >= 0 && chance(set.harm);
        after(ends ? crash_time : run_time,
              [this, one, ends]
              {
                  auto& engine = engines[one->engine];
                  if (!engine.up || engine.life != one->life)
                      return;
                  if (ends)
                      note_end(one->harmful), end(one->engine);
                  else
                      finish(one);
              });
    }

    void finish(const attempt_pointer& one)
    {
        std::erase(engines[one->engine].running, one);
        leave(*one);
        counts.answered += one->harmful < 0 ? 1 : 0;
        auto& entry = entries[one->entry];
        if (entry.ledger.record_response(one->content, now))
            tell_all(one->entry);
    }

    void leave(const attempt& one)
    {
        auto& flying = entries[one.entry].in_flight;
        if (--flying[one.content] == 0)
            flying.erase(one.content);
    }

    // Engines that end.

    void note_end(int harmful)
    {
        ++counts.ended;
        ends_of[harmful].push_back(now);
    }

    void plan_kills()
    {
        const auto count = static_cast<std::size_t>(
            set.killed * static_cast<double>(set.engines));
        for (std::size_t at = 0; at < count; ++at)
            after(2000ms + drawn(0ms, set.kills_last),
                  [this, at]
                  {
                      if (engines[at].up)
                          end(at);
                  });
    }

    void end(std::size_t at)
    {
        auto& engine = engines[at];
        engine.up = false;
        const auto lost = std::exchange(engine.running, {});
        after(away,
              [this, at]
              {
                  engines[at].up = true;
                  ++engines[at].life;
              });
        for (const auto& one : lost)
            after(link, [this, one] { lose(one); });
    }

    void lose(const attempt_pointer& one)
    {
        leave(*one);
        auto& entry = entries[one->entry];
        const instance_id engine(std::to_string(one->engine));
        const auto evidence = one->trial ? crash_evidence::trial
                              : now - one->begun >= first_event
                                  ? crash_evidence::mid_response
                                  : crash_evidence::before_response;
        const auto end = crash_id_of(engine, incarnation(one->life));
        if (entry.witness.add_lost_attempt(
                {engine, "", {one->content, end, evidence}}, now))
            after(probe,
                  [this, at = one->entry, engine] { accuse(at, engine); });
        if (one->runs > 0)
            return fails(one);
        auto next = std::make_shared<attempt>(*one);
        ++next->runs;
        after(set.verdict, [this, next] { place(next); });
    }

    void accuse(std::size_t at, const instance_id& engine)
    {
        auto& entry = entries[at];
        for (const auto& one :
             entry.witness.confirm_crash(engine, crash_proof::confirmed, now))
            entry.ledger.record_crash(one.content, one.crash, one.evidence,
                                      now);
        tell_all(at);
    }

    // Heartbeats.

    void beat_of(std::size_t at)
    {
        tell_all(at);
        after(beat, [this, at] { beat_of(at); });
    }

    void tell_all(std::size_t from)
    {
        auto records = std::make_shared<std::vector<message::crash_record>>(
            entries[from].ledger.collect_updates(
                crash_ledger::max_records_per_datagram, now));
        if (records->empty())
            return;
        message::fleet_heartbeat with;
        with.entry = true;
        with.crashes = *records;
        told += (encode(with).size() - encode(empty()).size()) *
                (entries.size() - 1);
        for (std::size_t to = 0; to < entries.size(); ++to)
        {
            if (to == from || chance(set.loss))
                continue;
            after(link,
                  [this, to, records]
                  {
                      for (const auto& one : *records)
                          entries[to].ledger.merge(one, now);
                  });
        }
    }

    static message::fleet_heartbeat empty()
    {
        message::fleet_heartbeat made;
        made.entry = true;
        return made;
    }

    outcome_counts counted()
    {
        std::map<request_content, bool> wrong;
        for (const auto& entry : entries)
        {
            for (const auto& [what, one] : entry.ledger.histories())
            {
                const auto standing = entry.ledger.status(what, now);
                if (standing == crash_status::quarantined ||
                    standing == crash_status::on_trial)
                    wrong[what] = true;
            }
        }
        for (std::size_t which = 0; which < set.harmful; ++which)
            wrong.erase(request_content::of("bad", "/", std::to_string(which)));
        counts.suspected = wrong.size();
        for (const auto& [which, ends] : ends_of)
        {
            const auto late = std::count_if(ends.begin(), ends.end(),
                                            [&, first = ends](time_point at) {
                                                return first.size() > 3 &&
                                                       at > first[2] + contact;
                                            });
            counts.ended_late =
                std::max(counts.ended_late, static_cast<std::size_t>(late));
        }
        counts.bytes = static_cast<double>(told) /
                       static_cast<double>(entries.size()) /
                       to_seconds(set.lasts);
        return counts;
    }

    scene set;
    std::mt19937 dice;
    time_point now{start};
    std::vector<entry_state> entries;
    std::vector<engine_state> engines;
    std::priority_queue<event> events;
    std::uint64_t last_event{0};
    std::uint64_t innocents{0};
    std::uint64_t told{0};
    std::map<int, std::vector<time_point>> ends_of;
    outcome_counts counts;
};

} // namespace crash_replay

#endif
