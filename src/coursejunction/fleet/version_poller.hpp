/*! @file
 * @brief Asks a second source which version of a model was named last: what is
 * overwritten in the platform's store before anybody reads it is known there.
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

/*! @brief A model whose newest version is asked for, and what is known of it.
 */
struct versioned_model
{
    std::string name;
    std::uint64_t newest{1}; /*!< Named, as far as is known otherwise. */
    std::size_t chunks{0};
    std::size_t chunk_bytes{0};
};

/*! @brief A version that only the second source told. */
struct missed_version
{
    std::string model;
    std::uint64_t version{0};
    time_point published_at{}; /*!< As far as is known. */
};

/*! @brief Keeps asking, one question at a time for each model. A newer version
 * counts once two answers tell it or a newer one: one may be spoilt.
 * @tparam Source A `Version_source`.
 * @tparam Clock Tells the time at which an answer comes. */
template <Version_source Source, typename Clock = event_loop>
class version_poller
{
public:
    /*! @brief A version that the source tells is usually on its way from the
     * store as well; after this long it is not. */
    static constexpr milliseconds hearing_time{1000};

    /*! @brief A version counts as named when it was told. Where the source did
     * not answer when it should have, it counts from this long after that:
     * most of the time until the version binds may be over. */
    static constexpr milliseconds most_unsure{1000};

    /*! @param told Takes versions that nobody reads in the store.
     * @param seed Another one for each entry. */
    version_poller(Source& asked, metrics& counted, std::uint32_t seed,
                   std::function<void(const missed_version&)> told)
        : source(asked), counters(counted), number(seed), news(std::move(told))
    {
    }

    /*! @brief What was read of the store may be incomplete. */
    void request_recheck(const std::string& why, time_point now)
    {
        log::state("version_doubted", {{"why", why}});
        for (auto& [model, one] : models)
            one.schedule.doubt(now);
    }

    /*! @brief Asks when it is this entry's turn, and tells what nobody reads
     * in the store.
     * @param from The service that is the source.
     * @param at This entry's place among those that it hears. */
    void poll_if_due(const service_profile& from, const versioned_model& model,
                     const entry_ranking& at, time_point now)
    {
        auto& one = known(from, model, now);
        one.model = model;
        tell(one, now);
        // The schedule is told the rank while a question is on its way, too.
        const bool due = one.schedule.due(at, now);
        if (one.asking || !due)
            return;
        one.schedule.asked(now);
        one.asking = true;
        source.newest(from.origin, model.name,
                      [this, now, name = model.name, rate = from.origin_rate](
                          const result<offered_version>& answer)
                      { answered(models.at(name), now, rate, answer); });
    }

    /*! @brief Returns the latest moment at which a version that is newer than
     * all that are known here can count as named. */
    [[nodiscard]] time_point latest_publish_time(const std::string& model,
                                                 time_point now) const
    {
        const auto found = models.find(model);
        return found == models.end()
                   ? time_point{}
                   : std::min(now, found->second.confirmed_at + most_unsure);
    }

    /*! @brief Returns how long ago the source last confirmed what is known. */
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
    /*! @brief Answers that tell a version until it counts. */
    static constexpr int least_answers = 2;

    /*! @brief A newer version that the store does not show yet. */
    struct told_newer
    {
        time_point first_at{}; /*!< When it was told first. */
        int answers{0};
    };

    struct model_state
    {
        poll_schedule schedule;
        versioned_model model;
        /*! @brief When the source told nothing newer than what was known; at
         * first, when this process began to ask. */
        time_point confirmed_at{};
        std::map<std::uint64_t, told_newer> told;
        bool asking{false};
        std::uint64_t offered{0}; /*!< By the last answer. */
        std::string fault;        /*!< Of the last answer, logged once. */
    };

    /*! @brief Bytes that an answer takes for each chunk: a hash as text. */
    static constexpr std::size_t chunk_answer_bytes = 70;

    model_state& known(const service_profile& from,
                       const versioned_model& model, time_point now)
    {
        const auto found = models.find(model.name);
        if (found != models.end())
            return found->second;
        model_state made{poll_schedule(number), {}, now};
        made.schedule.costs(model.chunks * chunk_answer_bytes,
                            from.origin_rate);
        made.schedule.doubt(now);
        return models.emplace(model.name, std::move(made)).first->second;
    }

    /*! @brief Tells versions that did not come from the store either. */
    void tell(model_state& one, time_point now)
    {
        while (!one.told.empty() && agreed(one) &&
               now - one.told.begin()->second.first_at >= hearing_time)
        {
            const auto [version, first] = *one.told.begin();
            one.told.erase(one.told.begin());
            if (version > one.model.newest)
                tell(one, version, first.first_at, now);
        }
    }

    /*! @brief Tells whether the first of the told versions counts. */
    [[nodiscard]] static bool agreed(const model_state& one)
    {
        return std::any_of(one.told.begin(), one.told.end(),
                           [](const auto& each)
                           { return each.second.answers >= least_answers; });
    }

    void tell(const model_state& one, std::uint64_t version, time_point told_at,
              time_point now)
    {
        const auto unsure = std::max<std::chrono::microseconds>(
            most_unsure, one.schedule.regular_gap());
        const auto named = std::min(told_at, one.confirmed_at + unsure);
        const auto age = std::chrono::duration_cast<milliseconds>(now - named);
        counters.count("versions_unheard_total");
        log::warning("version_unheard",
                     {{"model", one.model.name},
                      {"version", std::to_string(version)},
                      {"known", std::to_string(one.model.newest)},
                      {"age_ms", std::to_string(age.count())}});
        news({one.model.name, version, named});
    }

    void answered(model_state& one, time_point asked_at, byte_rate rate,
                  const result<offered_version>& answer)
    {
        one.asking = false;
        const auto fault = fault_of(answer, one.model);
        note(one, fault, answer);
        if (!fault.empty())
            return one.schedule.failed(Clock::now());
        const auto& offer = answer.value();
        one.schedule.costs(offer.answer_bytes, rate);
        note_offer(one, offer.version);
        if (offer.version <= one.model.newest)
        {
            one.confirmed_at = asked_at;
            one.told.clear();
            return;
        }
        note_newer(one, offer.version, Clock::now());
    }

    /*! @brief The source only rises: what it told beyond this was spoilt. */
    static void note_newer(model_state& one, std::uint64_t version,
                           time_point now)
    {
        one.told.erase(one.told.upper_bound(version), one.told.end());
        auto& told =
            one.told.try_emplace(version, told_newer{now, 0}).first->second;
        if (++told.answers < least_answers)
            one.schedule.repeat();
    }

    /*! @brief Returns why an answer is not believed; empty when it is. A
     * source that tells less than is known takes nothing back. */
    [[nodiscard]] static std::string
    fault_of(const result<offered_version>& answer,
             const versioned_model& model)
    {
        if (!answer)
            return answer.error().message;
        const auto& offer = answer.value();
        if (offer.version < model.newest)
            return "older than what was named";
        if (!plausible_successor(model.newest, offer.version))
            return "absurd version";
        if (offer.chunks != model.chunks ||
            offer.chunk_bytes != model.chunk_bytes)
            return "its weights do not fit the model";
        return {};
    }

    /*! @brief Counts an answer, and logs a fault that begins. */
    void note(model_state& one, const std::string& fault,
              const result<offered_version>& answer)
    {
        counters.count("version_inquiries_total", 1,
                       {{"result", fault.empty() ? "answered" : "refused"}});
        if (fault != one.fault && !fault.empty())
            log::warning(
                "version_source_refused",
                {{"model", one.model.name},
                 {"known", std::to_string(one.model.newest)},
                 {"told", answer ? std::to_string(answer.value().version)
                                 : std::string()},
                 {"why", fault}});
        one.fault = fault;
    }

    static void note_offer(model_state& one, std::uint64_t version)
    {
        if (std::exchange(one.offered, version) == version)
            return;
        log::state("version_offered",
                   {{"model", one.model.name},
                    {"version", std::to_string(version)},
                    {"known", std::to_string(one.model.newest)}});
    }

    Source& source;
    metrics& counters;
    std::uint32_t number;
    std::function<void(const missed_version&)> news;
    std::map<std::string, model_state> models;
};

} // namespace coursejunction

#endif
