/*! @file
 * @brief Polls a second source, the origin of the model weights, for the newest
 * published version of each model: a version that is overwritten in the
 * platform's store before any process reads it is still known there.
 */
#ifndef COURSEJUNCTION_FLEET_VERSION_POLLER_HPP
#define COURSEJUNCTION_FLEET_VERSION_POLLER_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/installation.hpp"
#include "coursejunction/fleet/poll_schedule.hpp"
#include "coursejunction/fleet/version_record.hpp"
#include "coursejunction/fleet/version_source.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction
{

/*! @brief A model to poll for, and what is known of it. */
struct versioned_model
{
    std::string name;
    std::uint64_t newest{1}; /*!< Newest version known from any source. */
    std::size_t chunks{0};
    std::size_t chunk_bytes{0};
};

/*! @brief A version that only the second source reported. */
struct missed_version
{
    std::string model;
    std::uint64_t version{0};
    time_point published_at{}; /*!< Estimated. */
};

/*! @brief Polls continuously, with at most one poll per model in flight. A
 * newer version is reported `propagation_time` after the source first gave it,
 * and only once two answers gave the same version, this one or a higher one: a
 * single answer may be corrupt.
 * @tparam Source A `Version_source`.
 * @tparam Clock Provides the time at which an answer arrives. */
template <Version_source Source, typename Clock = event_loop>
class version_poller
{
public:
    /*! @brief Time for a version to arrive from the store after the source
     * reported it first; after that it counts as missed. */
    static constexpr milliseconds propagation_time{1000};

    /*! @brief A version counts as published when the source first reported it,
     * but at most this long (or one regular interval, if that is longer) after
     * the source last confirmed that no newer version existed. Otherwise a
     * version found after an outage of the source would count as just
     * published, although most of the time for which older versions may still
     * be used may have passed. */
    static constexpr milliseconds max_publish_uncertainty{1000};

    /*! @param random_seed Must differ between entries.
     * @param report Called with each version that the store does not show. */
    version_poller(Source& polled, metrics& registry, std::uint32_t random_seed,
                   std::function<void(const missed_version&)> report)
        : source(polled), counters(registry), seed(random_seed),
          on_missed(std::move(report))
    {
    }

    /*! @brief Requests an early poll for every model: updates of the store may
     * have been missed.
     * @param why Logged. */
    void request_recheck(const std::string& why, time_point now)
    {
        log::state("version_doubted", {{"why", why}});
        for (auto& [model, state] : models)
            state.schedule.request_recheck(now);
    }

    /*! @brief Polls if it is due, and reports versions that did not arrive from
     * the store in time; to be called several times a second.
     * @param from The service whose origin is the source.
     * @param self This entry's position among the live entries. */
    void poll_if_due(const service_profile& from, const versioned_model& model,
                     const entry_ranking& self, time_point now)
    {
        auto& state = state_of(from, model, now);
        state.model = model;
        report_due(state, now);
        // Called while a poll is in flight, too, to keep the rank up to date.
        const bool due = state.schedule.due(self, now);
        if (state.in_flight || !due)
            return;
        state.schedule.record_poll(now);
        state.in_flight = true;
        source.newest(from.origin, model.name,
                      [this, now, name = model.name, rate = from.origin_rate](
                          const result<offered_version>& answer)
                      { handle_answer(models.at(name), now, rate, answer); });
    }

    /*! @brief Returns the latest time that is assumed for the publication of a
     * version that is unknown here: `max_publish_uncertainty` after the last
     * confirmation, but at most `now`; the epoch if the model was never polled.
     */
    [[nodiscard]] time_point latest_publish_time(const std::string& model,
                                                 time_point now) const
    {
        const auto found = models.find(model);
        return found == models.end()
                   ? time_point{}
                   : std::min(now, found->second.confirmed_at +
                                       max_publish_uncertainty);
    }

    /*! @brief Returns the time since the source last confirmed that no newer
     * version exists, or since polling of the model began if it never did; zero
     * if the model was never polled. */
    [[nodiscard]] std::chrono::microseconds
    unconfirmed_for(const std::string& model, time_point now) const
    {
        const auto found = models.find(model);
        if (found == models.end())
            return {};
        return std::chrono::duration_cast<std::chrono::microseconds>(
            now - found->second.confirmed_at);
    }

private:
    /*! @brief Number of answers with the same version that make it trusted. */
    static constexpr int min_answers = 2;

    /*! @brief A newer version that the store does not show yet. */
    struct newer_report
    {
        time_point first_at{}; /*!< When it was reported first. */
        int answers{0};
    };

    struct model_state
    {
        poll_schedule schedule;
        versioned_model model;
        /*! @brief When the last poll was sent that returned nothing newer; at
         * first, when this process began to poll. */
        time_point confirmed_at{};
        std::map<std::uint64_t, newer_report> newer; /*!< By version. */
        bool in_flight{false};
        std::uint64_t last_offered{0}; /*!< In the last valid answer. */
        std::string last_fault; /*!< Of the last answer, to log it once. */
    };

    /*! @brief Bytes of an answer per chunk, whose hash it lists as text. */
    static constexpr std::size_t answer_bytes_per_chunk = 70;

    model_state& state_of(const service_profile& from,
                          const versioned_model& model, time_point now)
    {
        const auto found = models.find(model.name);
        if (found != models.end())
            return found->second;
        model_state made{poll_schedule(seed), {}, now};
        made.schedule.set_answer_size(model.chunks * answer_bytes_per_chunk,
                                      from.origin_rate);
        made.schedule.request_recheck(now);
        return models.emplace(model.name, std::move(made)).first->second;
    }

    /*! @brief Reports versions that did not arrive from the store in time. */
    void report_due(model_state& state, time_point now)
    {
        while (!state.newer.empty() && trusted(state) &&
               now - state.newer.begin()->second.first_at >= propagation_time)
        {
            const auto [version, first] = *state.newer.begin();
            state.newer.erase(state.newer.begin());
            if (version > state.model.newest)
                report(state, version, first.first_at, now);
        }
    }

    /*! @brief Returns whether the lowest of the newer versions is trusted: it
     * or a version above it came in enough answers. */
    [[nodiscard]] static bool trusted(const model_state& state)
    {
        return std::any_of(state.newer.begin(), state.newer.end(),
                           [](const auto& each)
                           { return each.second.answers >= min_answers; });
    }

    void report(const model_state& state, std::uint64_t version,
                time_point first_at, time_point now)
    {
        const auto uncertainty = std::max<std::chrono::microseconds>(
            max_publish_uncertainty, state.schedule.regular_interval());
        const auto published =
            std::min(first_at, state.confirmed_at + uncertainty);
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - published);
        counters.count("versions_unheard_total");
        log::warning("version_unheard",
                     {{"model", state.model.name},
                      {"version", std::to_string(version)},
                      {"known", std::to_string(state.model.newest)},
                      {"age_ms", std::to_string(age.count())}});
        on_missed({state.model.name, version, published});
    }

    void handle_answer(model_state& state, time_point polled_at, byte_rate rate,
                       const result<offered_version>& answer)
    {
        state.in_flight = false;
        const auto fault = fault_of(answer, state.model);
        record_result(state, fault, answer);
        if (!fault.empty())
            return state.schedule.record_failure(Clock::now());
        const auto& offer = answer.value();
        state.schedule.set_answer_size(offer.answer_bytes, rate);
        log_offer(state, offer.version);
        if (offer.version <= state.model.newest)
        {
            state.confirmed_at = polled_at;
            state.newer.clear();
            return;
        }
        add_newer(state, offer.version, Clock::now());
    }

    /*! @brief Records a newer version. Versions of the source only increase:
     * reports above this one were corrupt, and are dropped. */
    static void add_newer(model_state& state, std::uint64_t version,
                          time_point now)
    {
        state.newer.erase(state.newer.upper_bound(version), state.newer.end());
        auto& report = state.newer.try_emplace(version, newer_report{now, 0})
                           .first->second;
        if (++report.answers < min_answers)
            state.schedule.request_confirmation();
    }

    /*! @brief Returns why an answer is rejected; empty if it is valid. A source
     * that reports less than is known revokes nothing. */
    [[nodiscard]] static std::string
    fault_of(const result<offered_version>& answer,
             const versioned_model& model)
    {
        if (!answer)
            return answer.error().message;
        const auto& offer = answer.value();
        if (offer.version < model.newest)
            return "older than the newest known version";
        if (!plausible_successor(model.newest, offer.version))
            return "implausible version";
        if (offer.chunks != model.chunks ||
            offer.chunk_bytes != model.chunk_bytes)
            return "chunks do not fit the model";
        return {};
    }

    /*! @brief Counts an answer, and logs a fault that differs from the last
     * answer's. */
    void record_result(model_state& state, const std::string& fault,
                       const result<offered_version>& answer)
    {
        counters.count("version_inquiries_total", 1,
                       {{"result", fault.empty() ? "answered" : "refused"}});
        if (fault != state.last_fault && !fault.empty())
            log::warning(
                "version_source_refused",
                {{"model", state.model.name},
                 {"known", std::to_string(state.model.newest)},
                 {"told", answer ? std::to_string(answer.value().version)
                                 : std::string()},
                 {"why", fault}});
        state.last_fault = fault;
    }

    static void log_offer(model_state& state, std::uint64_t version)
    {
        if (std::exchange(state.last_offered, version) == version)
            return;
        log::state("version_offered",
                   {{"model", state.model.name},
                    {"version", std::to_string(version)},
                    {"known", std::to_string(state.model.newest)}});
    }

    Source& source;
    metrics& counters;
    std::uint32_t seed;
    std::function<void(const missed_version&)> on_missed;
    std::map<std::string, model_state> models;
};

} // namespace coursejunction

#endif
