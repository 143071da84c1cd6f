/*! @file
 * @brief What an entry believes of every upstream, from the store's records,
 * from the sides' heartbeats and from its own attempts; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_REGISTRY_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_REGISTRY_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/engine_shares.hpp"
#include "coursejunction/route/known_upstream.hpp"
#include "coursejunction/route/retained_terms.hpp"
#include "coursejunction/route/smoothed_rate.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Upstreams by id. */
class upstream_registry
{
public:
    /*! @brief Status older than this no longer tells the load; ten reports. */
    static constexpr milliseconds status_validity{1000};

    /*! @brief An upstream whose record went while the store was away may have
     * lapsed only: the platform's pages give it two seconds to come back. */
    static constexpr milliseconds lapse_grace{2000};

    /*! @brief Takes or replaces a record; one of an earlier life than is known
     * changes nothing.
     * @return The life that ended, if one did. */
    std::optional<ended_incarnation> apply_record(upstream_record one)
    {
        const auto [place, added] = book.try_emplace(one.id);
        auto& known = place->second;
        if (added)
            departed.restore(one.id, one.life, known);
        if (!one.life.empty() && one.life < known.life)
            return std::nullopt;
        auto ended = begin_life(known, one.life);
        known.lapses_at.reset();
        known.record = std::move(one);
        return ended;
    }

    /*! @brief The record is gone.
     * @param lapse Whether the store was away, so that it may come back. */
    void remove(const instance_id& id, bool lapse, time_point now)
    {
        const auto found = book.find(id);
        if (found == book.end())
            return;
        if (lapse && !found->second.leaving())
        {
            found->second.lapses_at = now + lapse_grace;
            return;
        }
        departed.keep(found->second, now);
        book.erase(found);
    }

    /*! @brief Forgets records whose grace is over. */
    void expire(time_point now)
    {
        departed.expire(now);
        std::erase_if(book,
                      [&](const auto& one)
                      {
                          const auto& at = one.second.lapses_at;
                          if (!at || now < *at)
                              return false;
                          departed.keep(one.second, now);
                          return true;
                      });
    }

    /*! @brief Takes the status that a side at an address tells, from itself or
     * passed on. One that is older than the last, or of an earlier life of the
     * upstream, changes nothing.
     * @param now When the side told it.
     * @return The lives that ended. */
    std::vector<ended_incarnation>
    apply_status(const std::string& host, const message::upstream_status& told,
                 time_point now)
    {
        std::vector<ended_incarnation> all;
        const incarnation life(told.life);
        for (auto& [id, one] : book)
        {
            if (one.record.address.substr(0, one.record.address.rfind(':')) !=
                host)
                continue;
            if ((one.status && !follows(told, *one.status)) ||
                (!life.empty() && life < one.life))
                continue;
            if (auto ended = begin_life(one, life))
            {
                // The record is of the life that ended, until the next one.
                one.record.model_versions.clear();
                all.push_back(std::move(*ended));
            }
            // Its instance lives again: what was held against its silence is
            // past.
            if (one.status && side_silent(one, now))
                one.avoid_until = std::min(one.avoid_until, now + avoid_least);
            one.status = told;
            one.status_at = now;
            one.ended_since_status = 0;
        }
        return all;
    }

    /*! @brief Notes an attempt that is about to be sent. */
    void begin_attempt(const instance_id& id, std::uint64_t attempt,
                       double prompt, time_point now)
    {
        auto& one = book[id];
        one.attempts[attempt] = open_attempt{now, prompt, false};
        one.terms.record_send(now);
        if (prompt > 0)
            engine_sends.record(now);
    }

    /*! @brief The first event of an attempt came. */
    void mark_first_event(const instance_id& id, std::uint64_t attempt)
    {
        const auto found = book.find(id);
        if (found == book.end())
            return;
        const auto one = found->second.attempts.find(attempt);
        if (one != found->second.attempts.end())
            one->second.first_event_seen = true;
    }

    /*! @brief An attempt ended. An upstream that answered lives: it is used
     * less, not avoided: a service may have only one left that fails now and
     * then. */
    void end_attempt(const instance_id& id, std::uint64_t attempt,
                     attempt_result result, time_point now)
    {
        const auto found = book.find(id);
        if (found == book.end())
            return;
        auto& one = found->second;
        const auto open = one.attempts.find(attempt);
        // Of an earlier life: it says nothing of this one.
        if (open == one.attempts.end())
            return;
        if (open->second.sent_at < one.status_at)
            ++one.ended_since_status;
        one.attempts.erase(open);
        constexpr double smoothing = 0.15;
        const bool good = result == attempt_result::succeeded;
        one.fault_share += ((good ? 0.0 : 1.0) - one.fault_share) * smoothing;
        if (result == attempt_result::failed)
            avoid(one, now);
        else
            one.failures = 0;
    }

    /*! @brief Takes what an upstream says of itself in an answer.
     * @return Whether the terms on which it takes requests changed. */
    bool apply_notice(const instance_id& id, const received_notice& notice,
                      time_point now)
    {
        const auto found = book.find(id);
        return found != book.end() &&
               found->second.terms.apply_notice(notice, now);
    }

    /*! @brief Takes what another entry was told in an answer of a life of an
     * upstream.
     * @param from Address of that entry.
     * @return Whether the terms on which it takes requests changed. */
    bool apply_reported_terms(const instance_id& id, const incarnation& life,
                              const reported_terms& told,
                              const std::string& from, time_point now)
    {
        const auto found = book.find(id);
        if (found == book.end() || life != found->second.life)
            return false;
        return found->second.terms.apply_report(told, from, now);
    }

    /*! @brief Divides the limits that upstreams name between the entries.
     * @param own Address of this entry.
     * @param entries Those that take callers. */
    void assign_limit_shares(const std::string& own,
                             const std::vector<entry_demand>& entries,
                             time_point now)
    {
        for (auto& [id, one] : book)
        {
            if (!one.terms.limit())
                continue;
            one.terms.set_share(share_of_limit(id, one.record.hall,
                                               one.terms.limit()->per_second(),
                                               own, entries),
                                now);
        }
    }

    /*! @brief An attempt was taken back: it says nothing of the upstream. */
    void cancel_attempt(const instance_id& id, std::uint64_t attempt)
    {
        const auto found = book.find(id);
        if (found == book.end())
            return;
        if (found->second.attempts.erase(attempt) > 0)
            ++found->second.ended_since_status;
    }

    /*! @brief Compares what was predicted with what was seen. */
    void record_first_event_time(const instance_id& id, double predicted_ms,
                                 double seen_ms)
    {
        const auto found = book.find(id);
        if (found == book.end() || predicted_ms <= 0)
            return;
        constexpr double own_smoothing = 0.1;
        constexpr double all_smoothing = 0.15;
        constexpr double most = 8;
        const auto ratio = std::clamp(seen_ms / predicted_ms, 0.5, most);
        found->second.lateness +=
            (ratio - found->second.lateness) * own_smoothing;
        all_lateness += (ratio - all_lateness) * all_smoothing;
    }

    /*! @brief Returns how many times later than predicted first events come
     * lately, at all upstreams together: what everybody sends unseen shows
     * here first. */
    [[nodiscard]] double lateness() const
    {
        return std::max(all_lateness, 1.0);
    }

    [[nodiscard]] const known_upstream* find(const instance_id& id) const
    {
        const auto found = book.find(id);
        return found == book.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const std::map<instance_id, known_upstream>& all() const
    {
        return book;
    }

    /*! @brief Tells whether the side of an upstream was heard before and is
     * silent now. */
    [[nodiscard]] static bool side_silent(const known_upstream& one,
                                          time_point now)
    {
        return one.status && now - one.status_at > status_validity;
    }

    /*! @brief Returns the weights of a model that an upstream serves. */
    [[nodiscard]] static std::uint64_t served_version(const known_upstream& one,
                                                      const std::string& model,
                                                      time_point now)
    {
        if (one.status && now - one.status_at <= status_validity)
            return one.status->model == model ? one.status->version : 0;
        const auto found = one.record.model_versions.find(model);
        return found == one.record.model_versions.end() ? 0 : found->second;
    }

    /*! @brief Divides the upstreams that may be used between the entries.
     * @param own This entry's stretch of all of them.
     * @param usable Tells whether an upstream is one of them. */
    template <typename Usable>
    void assign_engine_shares(const demand_interval& own, Usable usable)
    {
        std::vector<known_upstream*> engines;
        for (auto& [id, one] : book)
        {
            one.share = limited_share(one);
            if (usable(one) && !one.terms.limit())
                engines.push_back(&one);
        }
        std::stable_sort(
            engines.begin(), engines.end(),
            [](const known_upstream* left, const known_upstream* right)
            { return left->record.hall < right->record.hall; });
        std::vector<double> places;
        places.reserve(engines.size());
        for (const auto* one : engines)
            places.push_back(static_cast<double>(one->record.slots));
        const auto parts = engine_fractions(own, places);
        for (std::size_t at = 0; at < engines.size(); ++at)
            engines[at]->share = parts[at];
    }

    /*! @brief Sets how many entries share the upstreams, this one included. */
    void set_entry_count(std::size_t count)
    {
        sharers =
            1 + share_of_others *
                    static_cast<double>(std::max<std::size_t>(count, 1) - 1);
    }

    /*! @brief Returns how many requests a second other entries are expected to
     * send to engines that this one considers: as many as this one each. */
    [[nodiscard]] double other_entries_rate(time_point now) const
    {
        return engine_sends.per_second(now) * (sharers - 1);
    }

    /*! @brief Returns what an engine is believed to be doing now.
     * What this entry sent since the last status stands for what all entries
     * did: they see the same loads and choose alike, but for an engine that is
     * this entry's own share. Where it has sent nothing
     * yet, as to an upstream that has just opened, `others` stands for them.
     * @param others Requests a second that other entries are expected to send
     * there beyond those that every upstream gets. */
    [[nodiscard]] engine_load load(const known_upstream& one,
                                   const engine_profile& engine, time_point now,
                                   double others = 0) const
    {
        engine_load made;
        const auto together = 1 + (sharers - 1) * (1 - one.share);
        const bool fresh = one.status && now - one.status_at <= status_validity;
        double seen_unread = 0;
        double new_unread = 0;
        double new_attempts = 0;
        double own_unread = 0;
        for (const auto& [number, attempt] : one.attempts)
        {
            const bool unseen =
                !fresh || attempt.sent_at + status_travel > one.status_at;
            new_attempts += unseen ? 1 : 0;
            if (attempt.first_event_seen)
                continue;
            own_unread += 1;
            (unseen ? new_unread : seen_unread) += attempt.prompt_tokens;
        }
        // What this entry sent stands for what all did.
        made.running = new_attempts * together;
        made.unread_tokens = seen_unread + new_unread * together;
        if (!fresh)
            return made;
        const auto told =
            static_cast<double>(one.status->running + one.status->waiting);
        made.running +=
            std::max(0.0, told - static_cast<double>(one.ended_since_status));
        made.pace = one.status->pace;
        constexpr double ms = 1000;
        made.age_ms = to_seconds(now - one.status_at) * ms;
        // Others' prompts that wait are not told: a usual one each.
        const auto waiting = std::max(
            0.0, static_cast<double>(one.status->waiting) - own_unread);
        made.unread_tokens += waiting * engine.typical_prompt_tokens;
        made.expected = others * made.age_ms / ms;
        made.running +=
            std::max(0.0, made.expected - new_attempts * (together - 1));
        const auto expected_unread = others *
                                     std::min(made.age_ms, reading_ms) / ms *
                                     engine.typical_prompt_tokens;
        made.unread_tokens +=
            std::max(0.0, expected_unread - new_unread * (together - 1));
        return made;
    }

private:
    /*! @brief A status may have been taken just before an attempt arrived. */
    static constexpr milliseconds status_travel{10};
    /*! @brief Part of the other entries that are taken to choose the same
     * upstream between two of its statuses; those of other halls prefer their
     * own. */
    static constexpr double share_of_others = 0.5;
    /*! @brief Prompts that came earlier have been read: two passes of a busy
     * engine of the installations. */
    static constexpr double reading_ms = 150;
    static constexpr milliseconds avoid_least{300};
    static constexpr unsigned most_doublings = 3;

    /*! @brief Returns the part of an upstream's limit that is this entry's; 0
     * where it names none. */
    static double limited_share(const known_upstream& one)
    {
        const auto& limit = one.terms.limit();
        return limit && limit->per_second() > 0
                   ? limit->own_share().per_second / limit->per_second()
                   : 0;
    }

    /*! @brief Tells whether a status was told after another one. */
    static bool follows(const message::upstream_status& told,
                        const message::upstream_status& before)
    {
        return std::tie(told.side, told.sequence) >
               std::tie(before.side, before.sequence);
    }

    /*! @brief Forgets what is known of an earlier life, where a later one is
     * told. What was sent before the last sign of the earlier one went to it,
     * and no answer comes any more; what was sent since may have reached
     * either.
     * @return The life that ended, if one did. */
    static std::optional<ended_incarnation> begin_life(known_upstream& one,
                                                       const incarnation& told)
    {
        if (told.empty() || told == one.life)
            return std::nullopt;
        const auto before = std::exchange(one.life, told);
        if (before.empty())
            return std::nullopt;
        ended_incarnation made{one.record.address, {}, one.record.id, before};
        for (const auto& [number, attempt] : one.attempts)
        {
            if (one.status && attempt.sent_at + status_travel < one.status_at)
                made.attempts.push_back(number);
        }
        for (const auto number : made.attempts)
            one.attempts.erase(number);
        one.status.reset();
        one.status_at = {};
        one.ended_since_status = 0;
        one.failures = 0;
        one.fault_share = 0;
        one.lateness = 1;
        one.avoid_until = {};
        one.terms = {};
        return made;
    }

    /*! @brief Avoids an upstream for a while after a failed attempt. When its
     * side is silent too, the whole instance stands still or is cut off:
     * what is sent there waits, and may begin when it wakes, on weights that
     * are too old by then. */
    static void avoid(known_upstream& one, time_point now)
    {
        one.avoid_until =
            side_silent(one, now)
                ? now + avoid_silent
                : now + avoid_least *
                            (1 << std::min(one.failures, most_doublings));
        ++one.failures;
    }

    /*! @brief How long an upstream is avoided that failed while its side was
     * silent, unless the side is heard again; instances of the installations
     * stood still for up to 7 s. */
    static constexpr milliseconds avoid_silent{8000};

    std::map<instance_id, known_upstream> book;
    retained_terms departed;
    double sharers{1};
    double all_lateness{1};
    smoothed_rate engine_sends; /*!< Of this entry, to all engines. */
};

} // namespace coursejunction

#endif
