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
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/route/cold_starts.hpp"
#include "coursejunction/route/engine_division.hpp"
#include "coursejunction/route/engine_estimate.hpp"
#include "coursejunction/route/incarnation_start.hpp"
#include "coursejunction/route/known_upstream.hpp"
#include "coursejunction/route/load_estimate.hpp"
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
    static constexpr milliseconds status_validity =
        load_estimate::status_validity;

    /*! @brief Applies which services have cold starts. */
    void configure(const installation& rules)
    {
        colds.configure(rules, upstreams);
    }

    /*! @brief Adds or replaces a record; ignores one of an earlier incarnation
     * than the known one.
     * @param now When it was received: the rest of its cold start counts from
     * then.
     * @return The earlier incarnation that the record replaced, if any. */
    std::optional<ended_incarnation> apply_record(upstream_record record,
                                                  time_point now = {})
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
        auto ended = start_incarnation(known, record.life,
                                       load_estimate::status_latency, now);
        colds.apply_record(known, record, added, now);
        known.lapses_at.reset();
        known.record = std::move(record);
        known.evacuated = evacuated.contains(known.record.hall);
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
     * received from it or relayed. A status that is not newer than the last
     * one, or of an earlier incarnation of the upstream, shows only that the
     * sidecar runs.
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
            upstream.side_heard_at = std::max(upstream.side_heard_at, sent_at);
            if (upstream.is_outdated(reported))
                continue;
            if (auto ended = start_incarnation(
                    upstream, life, load_estimate::status_latency, sent_at))
            {
                // The record belongs to the earlier incarnation until the next
                // one arrives.
                upstream.record.model_versions.clear();
                ended_incarnations.push_back(std::move(*ended));
            }
            // The upstream responds again: end a long avoidance due to its
            // silence.
            if (is_status_expired(upstream, sent_at))
                upstream.avoid_until =
                    std::min(upstream.avoid_until, sent_at + min_avoid_time);
            upstream.status = reported;
            upstream.status_at = sent_at;
            upstream.ended_since_status = 0;
        }
        return ended_incarnations;
    }

    /*! @brief Records an attempt that is about to be sent.
     * @param profiled_ms Predicted time to its first event at the profiled
     * pace; 0 if unknown. */
    void begin_attempt(const instance_id& id, std::uint64_t attempt,
                       double prompt_tokens, time_point now,
                       double profiled_ms = 0)
    {
        auto& upstream = upstreams[id];
        upstream.attempts[attempt] =
            open_attempt{now, prompt_tokens, profiled_ms, false};
        upstream.last_sent_at = now;
        upstream.terms.record_send(now);
        upstream.cold.record_send(now);
        if (prompt_tokens > 0)
            engine_sends.record(now);
    }

    /*! @brief Records that a part of the response to an attempt has arrived. */
    void record_response(const instance_id& id, std::uint64_t attempt,
                         time_point now)
    {
        const auto found = upstreams.find(id);
        // Sent to an earlier incarnation: says nothing of this one.
        if (found != upstreams.end() &&
            found->second.attempts.contains(attempt))
            found->second.responded_at = now;
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
        if (result == attempt_result::inconclusive)
            return;
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

    /*! @brief Sets the halls whose upstreams receive no request, with the store
     * position of each evacuation. The upstreams of a hall that returns to
     * service are treated as cold: they may have turned cold while it was
     * empty, and their records show it late. */
    void set_evacuations(std::map<hall_id, store_position> halls,
                         time_point now)
    {
        for (const auto& [hall, position] : evacuated)
        {
            if (!halls.contains(hall))
                mark_cold(hall, now);
        }
        evacuated = std::move(halls);
        for (auto& [id, upstream] : upstreams)
            upstream.evacuated = evacuated.contains(upstream.record.hall);
    }

    [[nodiscard]] const std::map<hall_id, store_position>& evacuations() const
    {
        return evacuated;
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

    /*! @brief Divides the request rates of cold upstreams between the entries.
     * @param unheard Entries known by address that were never heard.
     * @param leaving Entries that announced that they are leaving. */
    void assign_cold_shares(const std::string& own,
                            const std::vector<entry_demand>& entries,
                            std::size_t unheard, time_point now,
                            const std::vector<std::string>& leaving = {})
    {
        colds.assign_shares(own, entries, unheard, leaving, upstreams, now);
    }

    /*! @brief Treats the upstreams of a hall that returns to service as cold
     * for the time that their service takes. */
    void mark_cold(const hall_id& hall, time_point now)
    {
        for (auto& [id, upstream] : upstreams)
        {
            if (upstream.record.hall == hall)
                upstream.cold.extend_from(now, cold_source::marked, now);
        }
    }

    /*! @brief Treats an upstream as cold until a time, if its service has cold
     * starts. */
    void mark_cold(const instance_id& id, time_point until, time_point now)
    {
        const auto found = upstreams.find(id);
        if (found != upstreams.end())
            found->second.cold.extend(until, cold_source::marked, now);
    }

    /*! @brief Returns whether requests to an upstream are restricted because it
     * is cold. */
    [[nodiscard]] bool is_cold(const instance_id& id, time_point now) const
    {
        const auto* known = find(id);
        return known != nullptr && known->cold.active(now);
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

    /*! @brief Records how long a first event took, or how long it was awaited
     * in vain.
     * @param profiled_ms Predicted time at the profiled pace. */
    void record_pace(const instance_id& id, double profiled_ms,
                     double observed_ms, time_point now)
    {
        const auto found = upstreams.find(id);
        if (found != upstreams.end() && profiled_ms > 0)
            found->second.pace.record(observed_ms / profiled_ms, now);
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
     * but is silent now, which shows that their instance is suspended or cut
     * off. */
    [[nodiscard]] static bool side_silent(const known_upstream& upstream,
                                          time_point now)
    {
        return upstream.status &&
               now - upstream.side_heard_at > status_validity;
    }

    /*! @brief Returns whether the last status of an upstream is too old to be
     * used: its sidecar is silent, or gets no response from the upstream. */
    [[nodiscard]] static bool is_status_expired(const known_upstream& upstream,
                                                time_point now)
    {
        return upstream.status && now - upstream.status_at > status_validity;
    }

    /*! @brief Returns whether neither a status nor a response of an upstream
     * with a sidecar has arrived lately, so that it may be suspended or cut
     * off. */
    [[nodiscard]] static bool is_unheard(const known_upstream& upstream,
                                         time_point now)
    {
        const auto heard_at = upstream.last_heard_at();
        return heard_at && now - *heard_at > status_validity;
    }

    /*! @brief Returns whether an upstream of a service is heard. */
    [[nodiscard]] bool hears_any_of(const service_name& service,
                                    time_point now) const
    {
        return std::any_of(upstreams.begin(), upstreams.end(),
                           [&](const auto& item)
                           {
                               const auto& upstream = item.second;
                               return upstream.record.service == service &&
                                      upstream.last_heard_at() &&
                                      !is_unheard(upstream, now);
                           });
    }

    /*! @brief Returns which version of a model's weights an upstream serves; 0
     * if none. */
    [[nodiscard]] static std::uint64_t
    served_version(const known_upstream& upstream, const std::string& model,
                   time_point now)
    {
        if (upstream.status && !is_status_expired(upstream, now))
            return upstream.status->model == model ? upstream.status->version
                                                   : 0;
        const auto found = upstream.record.model_versions.find(model);
        return found == upstream.record.model_versions.end() ? 0
                                                             : found->second;
    }

    /*! @brief Returns which version new requests may be sent to; 0 if none. A
     * record names a version without knowing whether its weights are right, so
     * that it opens nothing that the sidecar has not reported: an upstream
     * without a status is closed, a status that says that it is closed holds
     * until a newer one or a later incarnation, and a record does not count if
     * it names another version than the last status. */
    [[nodiscard]] static std::uint64_t
    open_version(const known_upstream& upstream, const std::string& model,
                 time_point now)
    {
        const auto version = served_version(upstream, model, now);
        const auto& status = upstream.status;
        if (!status)
            return 0;
        const bool usable = is_status_expired(upstream, now)
                                ? status->version == version
                                : status->reachable;
        return status->open && usable ? version : 0;
    }

    /*! @brief Divides the engines between the entries. The share of an upstream
     * with a rate limit, or of a cold one, is this entry's fraction of the
     * rate; that of one that takes no part is 0.
     * @param own This entry's interval of the total demand.
     * @param usable Returns whether an upstream takes part. */
    template <typename Usable>
    void assign_engine_shares(const demand_interval& own, Usable usable)
    {
        divide_engines(upstreams, own, usable);
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
        return estimate_load(upstream, engine, effective_entries, others, now);
    }

private:
    /*! @brief Fraction of the other entries that are assumed to choose the same
     * upstream between two of its status reports; those of other halls prefer
     * upstreams of their own. */
    static constexpr double competing_fraction = 0.5;
    static constexpr milliseconds min_avoid_time{300};
    static constexpr unsigned max_doublings = 3;

    /*! @brief Avoids an upstream for a while after a failed attempt. If its
     * status has expired too, the upstream does not respond: a request sent
     * there waits, and may begin after the instance resumes, on weights that
     * are too old by then. */
    static void avoid(known_upstream& upstream, time_point now)
    {
        upstream.avoid_until = now + avoid_time(upstream, now);
        ++upstream.failures;
    }

    [[nodiscard]] static milliseconds avoid_time(const known_upstream& upstream,
                                                 time_point now)
    {
        return is_status_expired(upstream, now)
                   ? silent_avoid_time
                   : min_avoid_time *
                         (1 << std::min(upstream.failures, max_doublings));
    }

    /*! @brief How long an upstream is avoided that failed after its status had
     * expired, unless a new one arrives. Instances may be suspended for
     * up to 7 s. */
    static constexpr milliseconds silent_avoid_time{8000};

    std::map<instance_id, known_upstream> upstreams;
    retained_terms retained;
    upstream_departures departures;
    std::map<hall_id, store_position> evacuated;
    cold_starts colds;
    /*! @brief This entry and the others assumed to choose the same upstream. */
    double effective_entries{1};
    std::size_t live_entries{1};
    double all_lateness{1};
    smoothed_rate engine_sends; /*!< Of this entry, to all engines. */
};

} // namespace coursejunction

#endif
