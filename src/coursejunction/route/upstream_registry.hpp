/*! @file
 * @brief What an entry knows of every upstream: from the records in the store,
 * from the status reports of sidecars and from its own attempts; pure.
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
#include "coursejunction/route/upstream_departures.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief The upstreams by their id. */
class upstream_registry
{
public:
    /*! @brief Age above which a status no longer describes the load: ten report
     * intervals. */
    static constexpr milliseconds status_validity{1000};

    /*! @brief Adds or replaces a record; ignores one of an earlier incarnation
     * than the known one.
     * @return The earlier incarnation that the record replaced, if any. */
    std::optional<ended_incarnation> apply_record(upstream_record record)
    {
        const auto [position, added] = upstreams.try_emplace(record.id);
        auto& known = position->second;
        if (added)
        {
            retained.restore(record.id, record.life, known);
            known.departure = departures.pending(record.id);
        }
        if (!record.life.empty() && record.life < known.life)
            return std::nullopt;
        auto ended = start_incarnation(known, record.life);
        known.lapses_at.reset();
        known.record = std::move(record);
        return ended;
    }

    /*! @brief Handles the removal of a record.
     * @param lapse_deadline Until then the record may come back, as it may only
     * have expired in an outage of the store; nothing if it was removed. */
    void remove(const instance_id& id, std::optional<time_point> lapse_deadline,
                time_point now)
    {
        const auto found = upstreams.find(id);
        if (found == upstreams.end())
            return;
        if (lapse_deadline && !found->second.announced_leaving())
        {
            found->second.lapses_at = lapse_deadline;
            return;
        }
        retained.keep(found->second, now);
        upstreams.erase(found);
    }

    /*! @brief Drops upstreams whose record did not return by its deadline.
     * @return Their ids. */
    std::vector<instance_id> expire(time_point now)
    {
        retained.expire(now);
        departures.expire(now);
        std::vector<instance_id> expired;
        std::erase_if(upstreams,
                      [&](const auto& entry)
                      {
                          const auto& at = entry.second.lapses_at;
                          if (!at || now < *at)
                              return false;
                          retained.keep(entry.second, now);
                          expired.push_back(entry.first);
                          return true;
                      });
        return expired;
    }

    /*! @brief Applies a status that the sidecar at an address reported,
     * received from it or relayed. Ignores a status older than the last one or
     * of an earlier incarnation of the upstream.
     * @param sent_at When the sidecar sent it.
     * @return The earlier incarnations that ended. */
    std::vector<ended_incarnation>
    apply_status(const std::string& host,
                 const message::upstream_status& reported, time_point sent_at)
    {
        std::vector<ended_incarnation> ended_incarnations;
        const incarnation life(reported.life);
        for (auto& [id, upstream] : upstreams)
        {
            if (upstream.record.address.substr(
                    0, upstream.record.address.rfind(':')) != host)
                continue;
            if ((upstream.status && !is_newer(reported, *upstream.status)) ||
                (!life.empty() && life < upstream.life))
                continue;
            if (auto ended = start_incarnation(upstream, life))
            {
                // The record belongs to the earlier incarnation until the next
                // one arrives.
                upstream.record.model_versions.clear();
                ended_incarnations.push_back(std::move(*ended));
            }
            // The instance runs again: end a long avoidance due to its silence.
            if (upstream.status && side_silent(upstream, sent_at))
                upstream.avoid_until =
                    std::min(upstream.avoid_until, sent_at + min_avoid_time);
            upstream.status = reported;
            upstream.status_at = sent_at;
            upstream.ended_since_status = 0;
        }
        return ended_incarnations;
    }

    /*! @brief Records an attempt that is about to be sent. */
    void begin_attempt(const instance_id& id, std::uint64_t attempt,
                       double prompt_tokens, time_point now)
    {
        auto& upstream = upstreams[id];
        upstream.attempts[attempt] = open_attempt{now, prompt_tokens, false};
        upstream.terms.record_send(now);
        if (prompt_tokens > 0)
            engine_sends.record(now);
    }

    /*! @brief Records that the first event of an attempt has arrived. */
    void mark_first_event(const instance_id& id, std::uint64_t attempt)
    {
        const auto found = upstreams.find(id);
        if (found == upstreams.end())
            return;
        const auto open = found->second.attempts.find(attempt);
        if (open != found->second.attempts.end())
            open->second.first_event_seen = true;
    }

    /*! @brief Records the end of an attempt. An upstream that answers with an
     * error is used less but not avoided: it may be the only one left of its
     * service and fail only now and then. */
    void end_attempt(const instance_id& id, std::uint64_t attempt,
                     attempt_result result, time_point now)
    {
        const auto found = upstreams.find(id);
        if (found == upstreams.end())
            return;
        auto& upstream = found->second;
        const auto open = upstream.attempts.find(attempt);
        // Sent to an earlier incarnation: says nothing of this one.
        if (open == upstream.attempts.end())
            return;
        if (open->second.sent_at < upstream.status_at)
            ++upstream.ended_since_status;
        upstream.attempts.erase(open);
        constexpr double smoothing = 0.15;
        const bool good = result == attempt_result::succeeded;
        upstream.fault_share +=
            ((good ? 0.0 : 1.0) - upstream.fault_share) * smoothing;
        if (result == attempt_result::failed)
            avoid(upstream, now);
        else
            upstream.failures = 0;
    }

    /*! @brief Avoids an upstream for a while that is silent. It may be paused,
     * so it is a failure only if another upstream takes the attempt over. */
    void mark_silent(const instance_id& id, time_point now)
    {
        const auto found = upstreams.find(id);
        if (found != upstreams.end())
            found->second.avoid_until =
                std::max(found->second.avoid_until,
                         now + avoid_time(found->second, now));
    }

    /*! @brief Applies what an upstream announced in a response.
     * @return Whether the terms on which it accepts requests changed. */
    bool apply_notice(const instance_id& id, const received_notice& notice,
                      time_point now)
    {
        const auto found = upstreams.find(id);
        return found != upstreams.end() &&
               found->second.terms.apply_notice(notice, now);
    }

    /*! @brief Applies terms that another entry received from an incarnation of
     * an upstream.
     * @param from Address of that entry.
     * @return Whether the terms on which it accepts requests changed. */
    bool apply_reported_terms(const instance_id& id, const incarnation& life,
                              const reported_terms& reported,
                              const std::string& from, time_point now)
    {
        const auto found = upstreams.find(id);
        if (found == upstreams.end() || life != found->second.life)
            return false;
        return found->second.terms.apply_report(reported, from, now);
    }

    /*! @brief Applies a departure, read from the mirror or reported by another
     * entry.
     * @return False if it is not newer than the known one. */
    bool apply_departure(const upstream_departure& departure, time_point now)
    {
        if (!departures.add(departure, now))
            return false;
        const auto found = upstreams.find(departure.id);
        if (found != upstreams.end())
            found->second.departure = departures.pending(departure.id);
        return true;
    }

    /*! @brief Sets the position of the mirror. Up to there the records say
     * which upstreams accept requests, and departures no longer count. */
    void set_mirrored(store_position position)
    {
        departures.set_mirrored(position);
        for (auto& [id, upstream] : upstreams)
        {
            if (upstream.departure && upstream.departure->position <= position)
                upstream.departure.reset();
        }
    }

    /*! @brief Returns departures to report to other entries. */
    [[nodiscard]] std::vector<upstream_departure>
    departures_to_report(std::size_t max_count, time_point now)
    {
        return departures.take_reports(max_count, now);
    }

    /*! @brief Divides the rate limits that upstreams announced between the
     * entries.
     * @param own Address of this entry.
     * @param entries Those that accept requests. */
    void assign_limit_shares(const std::string& own,
                             const std::vector<entry_demand>& entries,
                             time_point now)
    {
        for (auto& [id, upstream] : upstreams)
        {
            if (!upstream.terms.limit())
                continue;
            upstream.terms.set_share(
                share_of_limit(id, upstream.record.hall,
                               upstream.terms.limit()->per_second(), own,
                               entries),
                now);
        }
    }

    /*! @brief Removes a cancelled attempt; it says nothing of the upstream. */
    void cancel_attempt(const instance_id& id, std::uint64_t attempt)
    {
        const auto found = upstreams.find(id);
        if (found == upstreams.end())
            return;
        if (found->second.attempts.erase(attempt) > 0)
            ++found->second.ended_since_status;
    }

    /*! @brief Records how long the first event took compared with its
     * prediction. */
    void record_first_event_time(const instance_id& id, double predicted_ms,
                                 double observed_ms)
    {
        const auto found = upstreams.find(id);
        if (found == upstreams.end() || predicted_ms <= 0)
            return;
        constexpr double upstream_smoothing = 0.1;
        constexpr double all_smoothing = 0.15;
        constexpr double max_ratio = 8;
        const auto ratio =
            std::clamp(observed_ms / predicted_ms, 0.5, max_ratio);
        found->second.lateness +=
            (ratio - found->second.lateness) * upstream_smoothing;
        all_lateness += (ratio - all_lateness) * all_smoothing;
    }

    /*! @brief Returns the smoothed ratio of the observed to the predicted time
     * of first events at all upstreams together, at least 1. Load that other
     * entries add unseen shows here first. */
    [[nodiscard]] double lateness() const
    {
        return std::max(all_lateness, 1.0);
    }

    [[nodiscard]] const known_upstream* find(const instance_id& id) const
    {
        const auto found = upstreams.find(id);
        return found == upstreams.end() ? nullptr : &found->second;
    }

    [[nodiscard]] const std::map<instance_id, known_upstream>& all() const
    {
        return upstreams;
    }

    /*! @brief Returns whether the sidecar of an upstream has reported before
     * but is silent now. */
    [[nodiscard]] static bool side_silent(const known_upstream& upstream,
                                          time_point now)
    {
        return upstream.status && now - upstream.status_at > status_validity;
    }

    /*! @brief Returns which version of a model's weights an upstream serves; 0
     * if none. */
    [[nodiscard]] static std::uint64_t
    served_version(const known_upstream& upstream, const std::string& model,
                   time_point now)
    {
        if (upstream.status && now - upstream.status_at <= status_validity)
            return upstream.status->model == model ? upstream.status->version
                                                   : 0;
        const auto found = upstream.record.model_versions.find(model);
        return found == upstream.record.model_versions.end() ? 0
                                                             : found->second;
    }

    /*! @brief Divides the engines between the entries. The share of an upstream
     * with a rate limit is this entry's fraction of the limit; that of one
     * that takes no part is 0.
     * @param own This entry's interval of the total demand.
     * @param usable Returns whether an upstream takes part. */
    template <typename Usable>
    void assign_engine_shares(const demand_interval& own, Usable usable)
    {
        std::vector<known_upstream*> engines;
        for (auto& [id, upstream] : upstreams)
        {
            upstream.share = limit_fraction(upstream);
            if (usable(upstream) && !upstream.terms.limit())
                engines.push_back(&upstream);
        }
        std::stable_sort(
            engines.begin(), engines.end(),
            [](const known_upstream* left, const known_upstream* right)
            { return left->record.hall < right->record.hall; });
        std::vector<double> slots;
        slots.reserve(engines.size());
        for (const auto* upstream : engines)
            slots.push_back(static_cast<double>(upstream->record.slots));
        const auto fractions = engine_fractions(own, slots);
        for (std::size_t index = 0; index < engines.size(); ++index)
            engines[index]->share = fractions[index];
    }

    /*! @brief Sets how many entries share the upstreams, including this one. */
    void set_entry_count(std::size_t count)
    {
        live_entries = count;
        effective_entries =
            1 + competing_fraction *
                    static_cast<double>(std::max<std::size_t>(count, 1) - 1);
    }

    /*! @brief Returns the number of live entries, including this one. */
    [[nodiscard]] std::size_t entry_count() const { return live_entries; }

    /*! @brief Returns how many requests a second competing entries are expected
     * to send to engines: each as many as this one. */
    [[nodiscard]] double other_entries_rate(time_point now) const
    {
        return engine_sends.per_second(now) * (effective_entries - 1);
    }

    /*! @brief Estimates the current load of an engine from its last status and
     * the requests sent since. Requests of this entry represent those of all
     * entries, as they see the same loads and choose alike; less so where the
     * engine belongs to this entry's share. What `others` predicts beyond
     * these is added, which matters most where this entry has sent none yet,
     * as to an upstream that has just opened.
     * @param others Requests a second that other entries are expected to send
     * there beyond an equal share. */
    [[nodiscard]] engine_load load(const known_upstream& upstream,
                                   const engine_profile& engine, time_point now,
                                   double others = 0) const
    {
        engine_load result;
        const auto scale = 1 + (effective_entries - 1) * (1 - upstream.share);
        const bool fresh =
            upstream.status && now - upstream.status_at <= status_validity;
        double reported_unread_tokens = 0;
        double unreported_unread_tokens = 0;
        double unreported_attempts = 0;
        double own_awaiting_first_event = 0;
        for (const auto& [number, attempt] : upstream.attempts)
        {
            const bool unreported =
                !fresh || attempt.sent_at + status_latency > upstream.status_at;
            unreported_attempts += unreported ? 1 : 0;
            if (attempt.first_event_seen)
                continue;
            own_awaiting_first_event += 1;
            (unreported ? unreported_unread_tokens : reported_unread_tokens) +=
                attempt.prompt_tokens;
        }
        // Scale the requests of this entry up to all entries.
        result.running = unreported_attempts * scale;
        result.unread_tokens =
            reported_unread_tokens + unreported_unread_tokens * scale;
        if (!fresh)
            return result;
        const auto reported = static_cast<double>(upstream.status->running +
                                                  upstream.status->waiting);
        result.running += std::max(
            0.0, reported - static_cast<double>(upstream.ended_since_status));
        result.pace = upstream.status->pace;
        constexpr double ms_per_second = 1000;
        result.age_ms = to_seconds(now - upstream.status_at) * ms_per_second;
        // Prompts of other entries are not reported: assume a typical length.
        const auto waiting =
            std::max(0.0, static_cast<double>(upstream.status->waiting) -
                              own_awaiting_first_event);
        result.unread_tokens += waiting * engine.typical_prompt_tokens;
        result.expected = others * result.age_ms / ms_per_second;
        result.running +=
            std::max(0.0, result.expected - unreported_attempts * (scale - 1));
        const auto expected_unread =
            others * std::min(result.age_ms, unread_window_ms) / ms_per_second *
            engine.typical_prompt_tokens;
        result.unread_tokens += std::max(
            0.0, expected_unread - unreported_unread_tokens * (scale - 1));
        return result;
    }

private:
    /*! @brief A status may have been taken this long before it was received, so
     * that attempts sent shortly before are not in it. */
    static constexpr milliseconds status_latency{10};
    /*! @brief Fraction of the other entries that are assumed to choose the same
     * upstream between two of its status reports; those of other halls prefer
     * upstreams of their own. */
    static constexpr double competing_fraction = 0.5;
    /*! @brief Prompts sent longer ago are assumed to have been read: two passes
     * of a busy engine. */
    static constexpr double unread_window_ms = 150;
    static constexpr milliseconds min_avoid_time{300};
    static constexpr unsigned max_doublings = 3;

    /*! @brief Returns this entry's fraction of an upstream's rate limit; 0 if
     * there is no limit. */
    static double limit_fraction(const known_upstream& upstream)
    {
        const auto& limit = upstream.terms.limit();
        return limit && limit->per_second() > 0
                   ? limit->own_share().per_second / limit->per_second()
                   : 0;
    }

    /*! @brief Returns whether a status was sent after another one. */
    static bool is_newer(const message::upstream_status& reported,
                         const message::upstream_status& before)
    {
        return std::tie(reported.side, reported.sequence) >
               std::tie(before.side, before.sequence);
    }

    /*! @brief Resets the state of an upstream when a later incarnation is
     * reported. Attempts sent before the last status of the earlier one went
     * to it and get no response any more; attempts sent since may have reached
     * either.
     * @return The incarnation that ended, if any. */
    static std::optional<ended_incarnation>
    start_incarnation(known_upstream& upstream, const incarnation& reported)
    {
        if (reported.empty() || reported == upstream.life)
            return std::nullopt;
        const auto before = std::exchange(upstream.life, reported);
        if (before.empty())
            return std::nullopt;
        ended_incarnation result{
            upstream.record.address, {}, upstream.record.id, before};
        for (const auto& [number, attempt] : upstream.attempts)
        {
            if (upstream.status &&
                attempt.sent_at + status_latency < upstream.status_at)
                result.attempts.push_back(number);
        }
        for (const auto number : result.attempts)
            upstream.attempts.erase(number);
        upstream.status.reset();
        upstream.status_at = {};
        upstream.ended_since_status = 0;
        upstream.failures = 0;
        upstream.fault_share = 0;
        upstream.lateness = 1;
        upstream.avoid_until = {};
        upstream.terms = {};
        return result;
    }

    /*! @brief Avoids an upstream for a while after a failed attempt. If its
     * sidecar is silent too, the instance is suspended or cut off: a request
     * sent there waits, and may begin after the instance resumes, on weights
     * that are too old by then. */
    static void avoid(known_upstream& upstream, time_point now)
    {
        upstream.avoid_until = now + avoid_time(upstream, now);
        ++upstream.failures;
    }

    [[nodiscard]] static milliseconds avoid_time(const known_upstream& upstream,
                                                 time_point now)
    {
        return side_silent(upstream, now)
                   ? silent_avoid_time
                   : min_avoid_time *
                         (1 << std::min(upstream.failures, max_doublings));
    }

    /*! @brief How long an upstream is avoided that failed while its sidecar was
     * silent, unless the sidecar reports again. Instances may be suspended for
     * up to 7 s. */
    static constexpr milliseconds silent_avoid_time{8000};

    std::map<instance_id, known_upstream> upstreams;
    retained_terms retained;
    upstream_departures departures;
    /*! @brief This entry and the others assumed to choose the same upstream. */
    double effective_entries{1};
    std::size_t live_entries{1};
    double all_lateness{1};
    smoothed_rate engine_sends; /*!< Of this entry, to all engines. */
};

} // namespace coursejunction

#endif
