/*! @file
 * @brief Decides under overload which fraction of an organisation's requests
 * lies beyond its share; pure. One object per service.
 * Load pattern: one organisation sends several times its usual load, so that
 * demand exceeds the capacity of the engines and requests of all organisations
 * are refused alike.
 *
 * The share is max-min, weighted by the usual load of each organisation over
 * the last minutes at all entries. An unweighted level would cut organisations
 * that are always large whenever the whole load is a little above capacity, and
 * would let a small one send nine times its usual load. An organisation counts
 * as above its share only from `above_ratio` times its usual load on; up to
 * there it is never refused here. Usual loads grow with the median
 * organisation, since a growth that all have in common is not misuse.
 *
 * How much is refused is not computed from a capacity but controlled by what is
 * observed: requests of organisations within their share that find no upstream.
 * As long as there are more than a few in a thousand of these, more is refused
 * of the organisations above their share, the farthest above first. The refused
 * amount falls when there are fewer, so the engines stay full.
 */
#ifndef COURSEJUNCTION_ROUTE_ORGANISATION_SHARES_HPP
#define COURSEJUNCTION_ROUTE_ORGANISATION_SHARES_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <map>
#include <utility>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/organisation_decision.hpp"
#include "coursejunction/route/smoothed_rate.hpp"

namespace coursejunction
{

/*! @brief Parameters of the shares. */
struct organisation_share_options
{
    /*! @brief Ratio to its usual load from which on an organisation counts as
     * above its share. */
    double above_ratio{1.5};
    /*! @brief Increase of that ratio over which the cut rises to its full size.
     * A step would oscillate where the rate varies around the limit. */
    double above_range{0.5};
    /*! @brief Standard deviations of the measured rate by which it must exceed
     * that ratio. */
    double noise_deviations{2};
    /*! @brief An organisation's usual load counts as at least this fraction of
     * the mean one, for organisations that are new. */
    double min_fraction_of_mean{0.25};
    /*! @brief Fraction of the requests within their shares whose refusal is
     * accepted. Without any, nothing would show that the engines are full. */
    double accepted_refusals{0.003};
    /*! @brief Refusals a second that are accepted in any case. */
    double min_accepted_refusals{0.5};
    /*! @brief Fraction of refusals within shares above which the refused amount
     * grows faster, in proportion up to `max_gain`. */
    double full_gain_refusals{0.1};
    double max_gain{4};
    /*! @brief Part of the refused amount that is given up per second when no
     * request within its share is refused. */
    double release_per_second{0.03};
    /*! @brief Under overload, an organisation's usual load grows as if it had
     * sent at most this multiple of its level, so that a lasting change of
     * demand becomes usual within about half an hour, and a burst does not. */
    double learning_ratio{1.25};
};

/*! @brief What other entries reported for a service. */
struct reported_organisations
{
    /*! @brief Sums of new requests a second. */
    std::map<organisation_id, double> per_second;
    /*! @brief Sum of refusals a second within shares. */
    double refused{0};
    double age_ms{0}; /*!< Age of the oldest report that counts. */
};

/*! @brief Shares of the organisations that use one service. */
class organisation_shares
{
public:
    /*! @brief Time over which arrivals are measured. Shorter ones detect a
     * burst sooner, but the chance variation of small rates is larger. */
    static constexpr milliseconds rate_window{1000};
    /*! @brief Time over which refusals are measured. It also sets the gain of
     * the control, whose proportional term cancels this delay. */
    static constexpr milliseconds refusal_window{1000};
    /*! @brief Time over which the usual load is measured. */
    static constexpr milliseconds usual_window{180'000};
    /*! @brief Rates of the first seconds rise from zero and are not learned. */
    static constexpr milliseconds settling_time{4000};
    /*! @brief Nothing is refused before loads were observed for this long. */
    static constexpr milliseconds min_history{12'000};

    explicit organisation_shares(organisation_share_options configured = {})
        : options(configured)
    {
    }

    /*! @brief Sets the organisations that may use the service. Fewer than two
     * have no shares. */
    template <typename Ids>
    void set_organisations(const Ids& ids)
    {
        std::map<organisation_id, state> kept;
        for (const auto& id : ids)
            kept[id] = organisations[id];
        organisations = std::move(kept);
    }

    /*! @brief Records a request and decides whether it lies beyond its
     * organisation's level. The fraction that does is refused evenly over time.
     * @param is_retry A client retry; does not count towards the rate. */
    organisation_decision record_arrival(const organisation_id& id,
                                         bool is_retry, time_point now)
    {
        const auto found = organisations.find(id);
        if (found == organisations.end() || organisations.size() < 2)
            return {};
        auto& one = found->second;
        if (first_arrival_at == time_point{})
            first_arrival_at = now;
        (is_retry ? one.retries : one.arrivals).record(now);
        auto decision = one.decision;
        // Its retries take part of what its level leaves to new requests.
        const auto rate = one.arrivals.per_second(now);
        decision.fraction = 1 - (1 - decision.fraction) * rate /
                                    (rate + one.retries.per_second(now));
        if (one.decision.fraction <= 0 || rate <= 0)
            return one.decision;
        one.credit += decision.fraction;
        if (one.credit < 1)
            return decision;
        one.credit -= 1;
        decision.beyond = true;
        decision.rates_age_ms += to_seconds(now - updated_at) * 1000;
        return decision;
    }

    /*! @brief Records that a new request was refused for lack of capacity. */
    void record_refusal(const organisation_decision& decided, time_point now)
    {
        if (decided.applies && !decided.above_share)
            refusals.record(now);
    }

    /*! @brief Returns this entry's rate of new requests of an organisation. */
    [[nodiscard]] double own_rate(const organisation_id& id,
                                  time_point now) const
    {
        const auto found = organisations.find(id);
        return found == organisations.end()
                   ? 0
                   : found->second.arrivals.per_second(now);
    }

    /*! @brief Returns this entry's rate of refusals within shares. */
    [[nodiscard]] double own_refused(time_point now) const
    {
        return refusals.per_second(now);
    }

    /*! @brief Recomputes levels and fractions; to be called several times a
     * second. */
    void update(const reported_organisations& reported, time_point now)
    {
        if (organisations.size() < 2)
            return;
        const auto elapsed =
            updated_at == time_point{}
                ? 0.0
                : std::min(to_seconds(now - updated_at), max_step_seconds);
        updated_at = now;
        add_rates(reported, now);
        learn_usual(elapsed, now);
        set_references();
        refused_within = refusals.per_second(now) + reported.refused;
        adjust_cut(elapsed, has_history(now));
        set_levels(reported.age_ms);
    }

    /*! @brief Returns the last decisions by organisation. */
    [[nodiscard]] std::map<organisation_id, organisation_decision>
    decisions() const
    {
        std::map<organisation_id, organisation_decision> all;
        for (const auto& [id, one] : organisations)
            all[id] = one.decision;
        return all;
    }

    /*! @brief Returns the multiple of its usual load up to which every
     * organisation is served; infinite if nothing is refused. */
    [[nodiscard]] double level_ratio() const { return level; }

    /*! @brief Returns the requests a second that are to be refused at all
     * entries together. */
    [[nodiscard]] double refused_amount() const { return cut; }

private:
    struct state
    {
        smoothed_rate arrivals{rate_window}; /*!< Of new requests. */
        smoothed_rate retries{rate_window};
        double rate{0};      /*!< At all entries. */
        double usual{0};     /*!< Over `usual_window`. */
        double reference{0}; /*!< Usual load, after the common growth. */
        double degree{0};    /*!< How far it counts as above its share. */
        double credit{0};    /*!< Refusals due. */
        organisation_decision decision;

        [[nodiscard]] double excess(double ratio) const
        {
            return degree * std::max(rate - ratio * reference, 0.0);
        }
    };

    [[nodiscard]] bool has_history(time_point now) const
    {
        return first_arrival_at != time_point{} &&
               now - first_arrival_at >= min_history;
    }

    void add_rates(const reported_organisations& reported, time_point now)
    {
        for (auto& [id, one] : organisations)
        {
            const auto others = reported.per_second.find(id);
            one.rate =
                one.arrivals.per_second(now) +
                (others == reported.per_second.end() ? 0 : others->second);
            if (one.rate > 0 && first_arrival_at == time_point{})
                first_arrival_at = now;
        }
    }

    void learn_usual(double elapsed, time_point now)
    {
        if (first_arrival_at == time_point{} ||
            now - first_arrival_at < settling_time)
            return;
        const auto kept = std::exp(-elapsed / to_seconds(usual_window));
        usual_weight = usual_weight * kept + (1 - kept);
        if (usual_weight <= 0)
            return;
        for (auto& [id, one] : organisations)
        {
            const auto learned =
                cut > 0 ? std::min(one.rate, options.learning_ratio *
                                                 std::max(level, 1.0) *
                                                 one.reference)
                        : one.rate;
            // A short history must not learn a burst as fast as the first load.
            const bool burst = one.degree > 0 && has_history(now);
            one.usual +=
                (1 - kept) / (burst ? 1 : usual_weight) * (learned - one.usual);
        }
    }

    /*! @brief Returns by which factor the median organisation exceeds its usual
     * load, at least 1. Of two medians the smaller one, so that one of two
     * organisations does not decide it alone. */
    [[nodiscard]] double common_growth() const
    {
        std::vector<double> ratios;
        for (const auto& [id, one] : organisations)
            if (one.usual > 0)
                ratios.push_back(one.rate / one.usual);
        if (ratios.empty())
            return 1;
        const auto median = ratios.begin() + static_cast<std::ptrdiff_t>(
                                                 (ratios.size() - 1) / 2);
        std::nth_element(ratios.begin(), median, ratios.end());
        return std::max(*median, 1.0);
    }

    void set_references()
    {
        double sum = 0;
        for (const auto& [id, one] : organisations)
            sum += one.usual;
        const auto least = options.min_fraction_of_mean * sum /
                           static_cast<double>(organisations.size());
        const auto growth = common_growth();
        for (auto& [id, one] : organisations)
        {
            one.reference = std::max(one.usual * growth, least);
            const auto deviation =
                std::sqrt(one.reference / (2 * to_seconds(rate_window)));
            const auto limit = options.above_ratio * one.reference +
                               options.noise_deviations * deviation;
            one.degree =
                one.reference > 0
                    ? std::clamp((one.rate - limit) /
                                     (options.above_range * one.reference),
                                 0.0, 1.0)
                    : 0;
        }
    }

    /*! @brief Proportional-integral control of the refused amount by the
     * refusals within shares. */
    void adjust_cut(double elapsed, bool known)
    {
        double total = 0;
        double within = 0;
        double most = 0;
        for (const auto& [id, one] : organisations)
        {
            total += one.rate;
            within += one.degree > 0 ? 0 : one.rate;
            most += one.excess(1);
        }
        if (!known || within <= 0)
        {
            integral = cut = 0;
            return;
        }
        const auto accepted = std::max(options.accepted_refusals * within,
                                       options.min_accepted_refusals);
        // Requests above their shares are refused as often by full engines.
        const auto missing = std::max(refused_within - accepted, 0.0) *
                             std::max((total - cut) / within, 1.0);
        // Faster while many are refused, as a large burst costs others most in
        // its first seconds.
        const auto gain =
            std::clamp(refused_within / within / options.full_gain_refusals,
                       1.0, options.max_gain);
        integral += gain * missing * elapsed / to_seconds(refusal_window);
        if (refused_within < accepted)
            integral *= std::exp(-options.release_per_second * elapsed *
                                 (1 - refused_within / accepted));
        integral = std::min(integral, most);
        cut = std::min(integral + missing, most);
        // An amount too small to be measured counts as none.
        if (cut < negligible_fraction * total)
            cut = 0;
    }

    /*! @brief Solves for the level at which the excess of all organisations is
     * the refused amount. */
    void set_levels(double age_ms)
    {
        level = std::numeric_limits<double>::infinity();
        if (cut > 0)
        {
            double low = 1;
            double high = 1;
            for (const auto& [id, one] : organisations)
                if (one.reference > 0)
                    high = std::max(high, one.rate / one.reference);
            for (int step = 0; step < bisections; ++step)
            {
                const auto middle = (low + high) / 2;
                double excess = 0;
                for (const auto& [id, one] : organisations)
                    excess += one.excess(middle);
                (excess > cut ? low : high) = middle;
            }
            level = high;
        }
        for (auto& [id, one] : organisations)
        {
            auto& decision = one.decision;
            decision = {};
            decision.applies = true;
            decision.above_share = one.degree > 0;
            decision.per_second = one.rate;
            decision.usual = one.usual;
            decision.level = cut > 0 ? level * one.reference : one.rate;
            decision.refused_within = refused_within;
            decision.rates_age_ms = age_ms;
            if (cut > 0 && one.rate > 0)
                decision.fraction = one.excess(level) / one.rate;
            if (decision.fraction <= 0)
                one.credit = 0;
        }
    }

    static constexpr double max_step_seconds = 1;
    static constexpr double negligible_fraction = 0.001;
    static constexpr int bisections = 30;

    organisation_share_options options;
    std::map<organisation_id, state> organisations;
    smoothed_rate refusals{refusal_window};
    time_point first_arrival_at{};
    time_point updated_at{};
    double usual_weight{0};
    double refused_within{0};
    double integral{0};
    double cut{0};
    double level{std::numeric_limits<double>::infinity()};
};

} // namespace coursejunction

#endif
