#include "coursejunction/route/organisation_shares.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/route/organisation_limits.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::time_point start{100s};
constexpr std::size_t organisation_count = 24;

cj::organisation_id organisation(std::size_t number)
{
    return cj::organisation_id("o" + std::to_string(number));
}

cj::installation configuration(std::size_t count = organisation_count)
{
    cj::installation rules;
    cj::service_profile service;
    service.name = cj::service_name("s");
    service.engine = cj::engine_profile{};
    rules.services[service.name] = service;
    for (std::size_t at = 0; at < count; ++at)
        rules.keys["key" + std::to_string(at)].id = organisation(at);
    return rules;
}

/*! @brief Requests of one organisation while they count. */
struct tally
{
    double requests{0};
    double served{0};

    [[nodiscard]] double fraction() const
    {
        return requests > 0 ? served / requests : 1;
    }
};

/*! @brief Entries in front of engines that serve a number of requests a second
 * and refuse the others at random. Arrivals are random; reports are exchanged
 * as in heartbeats, of which one in 20 is lost. */
struct load
{
    std::size_t entries{12};
    double per_second{700};   /*!< Usual requests of all organisations. */
    double capacity{1.0};     /*!< Relative to the usual load. */
    std::size_t flooder{0};   /*!< Organisation 0 is the largest. */
    double factor{1};         /*!< Its load relative to the usual one. */
    bool at_one_entry{false}; /*!< The additional requests reach one entry. */
    double retries{1};        /*!< Retries for each refused request. */
    std::uint32_t seed{1};
    double flood_from{30}; /*!< Seconds. */
    double count_from{30};
    double seconds{90};

    std::map<std::size_t, tally> result;
    double beyond{0};        /*!< Requests that were refused as beyond. */
    double beyond_others{0}; /*!< Those of organisations at their usual load. */
    double served{0};
    /*! @brief Fractions of the flooder's requests that are refused, over
     * time. */
    std::vector<double> cuts;
    cj::organisation_reports heard;

    static double usual_fraction(std::size_t number)
    {
        double sum = 0;
        for (std::size_t at = 1; at <= organisation_count; ++at)
            sum += 1 / static_cast<double>(at);
        return 1 / static_cast<double>(number + 1) / sum;
    }

    void run()
    {
        std::mt19937 random(seed);
        const auto rules = configuration();
        std::vector<cj::organisation_limits> limits(entries);
        for (auto& one : limits)
            one.configure(rules);
        std::vector<cj::organisation> owners;
        for (std::size_t at = 0; at < organisation_count; ++at)
            owners.push_back({organisation(at), 0, {}});
        constexpr double step = 0.1;
        double slots = 0;
        const auto steps = static_cast<int>(seconds / step);
        const cj::service_name service("s");
        struct one_request
        {
            std::size_t entry;
            std::size_t owner;
            cj::organisation_decision decision;
            bool retry;
        };
        std::map<int, std::vector<one_request>> retrying;
        for (int at = 0; at < steps; ++at)
        {
            const auto now = start + at * 100ms;
            const auto time = at * step;
            std::vector<one_request> requests = retrying[at];
            for (std::size_t who = 0; who < organisation_count; ++who)
            {
                const auto usual = per_second * usual_fraction(who) * step;
                const auto add = [&](double mean, bool one_entry)
                {
                    std::poisson_distribution<int> arrivals(
                        std::max(mean, 1e-9));
                    for (int left = arrivals(random); left > 0; --left)
                        requests.push_back({one_entry ? 0 : random() % entries,
                                            who,
                                            {},
                                            false});
                };
                add(usual, false);
                if (who == flooder && factor > 1 && time >= flood_from)
                    add(usual * (factor - 1), at_one_entry);
            }
            std::shuffle(requests.begin(), requests.end(), random);
            std::vector<one_request> passing;
            const bool counts = time >= count_from;
            const auto refuse = [&](one_request& one)
            {
                if (!one.retry &&
                    std::generate_canonical<double, 20>(random) < retries)
                {
                    auto again = one;
                    again.retry = true;
                    retrying[at + 15].push_back(again);
                }
            };
            for (auto& one : requests)
            {
                one.decision = limits[one.entry].record_arrival(
                    service, &owners[one.owner], one.retry, now);
                if (counts && !one.retry)
                    result[one.owner].requests += 1;
                if (!one.decision.beyond)
                {
                    passing.push_back(one);
                    continue;
                }
                beyond += 1;
                beyond_others += one.owner == flooder ? 0 : 1;
                refuse(one);
            }
            // Engines take requests ahead for some hundred milliseconds.
            const auto room = capacity * per_second * step;
            slots = std::min(slots + room, 4 * room);
            const auto free = static_cast<std::size_t>(slots);
            slots -= static_cast<double>(std::min(free, passing.size()));
            for (std::size_t each = 0; each < passing.size(); ++each)
            {
                auto& one = passing[each];
                if (each < free)
                {
                    if (counts)
                    {
                        served += 1;
                        // A late answer is worth little.
                        result[one.owner].served += one.retry ? 0 : 1;
                    }
                    continue;
                }
                if (!one.retry)
                    limits[one.entry].record_refusal(service, one.decision,
                                                     now);
                refuse(one);
            }
            exchange(limits, at, now, random);
            if (time >= flood_from)
                cuts.push_back(limits[0]
                                   .shares_of(service)
                                   ->decisions()
                                   .at(organisation(flooder))
                                   .fraction);
        }
    }

    /*! @brief Many entries hear the same reports, their own included, so that
     * the sums are formed only once. */
    void exchange(std::vector<cj::organisation_limits>& limits, int at,
                  cj::time_point now, std::mt19937& random)
    {
        const auto period = 8 * (entries / 120 + 1); // Steps of 100 ms.
        constexpr std::size_t max_rates = 8;
        constexpr unsigned lost_one_in = 20;
        const bool common = entries > 12;
        for (std::size_t from = 0; from < entries; ++from)
        {
            const auto phase = static_cast<std::size_t>(at) + from;
            if (phase % 4 != 0)
                continue;
            const auto rates =
                phase % period == 0
                    ? limits[from].rates_to_report(max_rates, now)
                    : std::vector<cj::reported_rate>{};
            const bool complete = !rates.empty() && rates.size() < max_rates;
            const auto name = std::to_string(from);
            if (common && random() % lost_one_in != 0)
                heard.record(name, rates, complete, now);
            for (std::size_t to = 0; !common && to < entries; ++to)
                if (to != from && random() % lost_one_in != 0)
                    limits[to].record_reports(name, rates, complete, now);
        }
        if (at % 2 != 0)
            return;
        const auto sums = heard.sums(now);
        for (auto& one : limits)
            common ? one.update(sums, now) : one.update(now);
    }

    /*! @brief Returns the served fraction of the organisations other than the
     * flooder. */
    [[nodiscard]] double others() const
    {
        tally sum;
        for (const auto& [who, one] : result)
        {
            if (who == flooder)
                continue;
            sum.requests += one.requests;
            sum.served += one.served;
        }
        return sum.fraction();
    }
};

/*! @brief Returns what a flood costs the others: the difference to the same
 * load without it. */
double cost_to_others(load flood)
{
    auto calm = flood;
    calm.factor = 1;
    calm.run();
    flood.run();
    UNSCOPED_INFO("others " << flood.others() << ", calm " << calm.others()
                            << ", theirs refused as beyond their share "
                            << flood.beyond_others);
    return calm.others() - flood.others();
}

} // namespace

namespace
{

load nine_times(std::size_t flooder)
{
    load flood;
    flood.factor = 9;
    flood.capacity = 1.1;
    flood.flooder = flooder;
    flood.entries = GENERATE(std::size_t{5}, 53, 340);
    flood.at_one_entry = GENERATE(false, true);
    return flood;
}

} // namespace

// Guards against one organisation that displaces the requests of all others.
SCENARIO("one organisation sends nine times its usual load for a minute",
         "[route]")
{
    const auto flooder = GENERATE(std::size_t{3}, 23);
    const auto flood = nine_times(flooder);
    CAPTURE(flood.entries, flood.flooder, flood.at_one_entry);
    THEN("it costs the others at most 0.03, from its first second on")
    {
        CHECK(cost_to_others(flood) <= 0.03);
    }
}

SCENARIO("the largest organisation has sent nine times its usual load for 6 s",
         "[route]")
{
    auto flood = nine_times(0);
    flood.count_from = 36;
    CAPTURE(flood.entries, flood.at_one_entry);
    THEN("it costs the others at most 0.03 from then on")
    {
        CHECK(cost_to_others(flood) <= 0.03);
    }
}

// Guards against a flood that displaces others before it is detected, which
// takes a report interval and the time over which rates are measured.
SCENARIO("the largest organisation begins to send nine times its usual load",
         "[route]")
{
    const auto flood = nine_times(0);
    CAPTURE(flood.entries, flood.at_one_entry);
    THEN("it costs the others at most 0.03 in the first minute")
    {
        CHECK(cost_to_others(flood) <= 0.03);
    }
}

// Guards against a control that alternates between refusing all and none, and
// against capacity that stays unused.
SCENARIO("the refused fraction under a lasting flood", "[route]")
{
    load flood;
    flood.factor = 9;
    flood.flooder = 1;
    flood.capacity = GENERATE(1.1, 1.4);
    flood.count_from = 50;
    flood.run();
    CAPTURE(flood.capacity);

    THEN("it varies little and the engines stay busy")
    {
        const auto from = flood.cuts.begin() + 200;
        const auto [least, most] = std::minmax_element(from, flood.cuts.end());
        CHECK(*least > 0.4);
        CHECK(*most - *least < 0.3);
        const auto possible = flood.capacity * flood.per_second * 40;
        CHECK(flood.served > 0.95 * possible);
        CHECK(flood.others() > 0.97);
    }
}

// Guards against refusals where the engines have room for all.
SCENARIO("an organisation floods engines that are not full", "[route]")
{
    load flood;
    flood.factor = 9;
    flood.flooder = 10;
    flood.capacity = 1.6;
    flood.run();
    THEN("nothing is refused as beyond a share")
    {
        CHECK(flood.beyond == 0);
    }
}

// Guards against equal shares, which would cut organisations that are always
// large.
SCENARIO("an overload without an organisation beyond its usual load", "[route]")
{
    load overload;
    overload.capacity = GENERATE(0.95, 0.7);
    overload.run();
    THEN("hardly a request is refused as beyond a share")
    {
        double requests = 0;
        for (const auto& [who, one] : overload.result)
            requests += one.requests;
        CHECK(overload.beyond < 0.002 * requests);
    }
}

namespace
{

const cj::service_name service("s");

/*! @brief Sends a steady rate of two organisations, then more of the first. */
cj::organisation_shares after_flood(double first, double refused)
{
    cj::organisation_shares shares;
    shares.set_organisations(
        std::vector<cj::organisation_id>{organisation(0), organisation(1)});
    for (int at = 0; at < 200; ++at)
    {
        const auto now = start + at * 100ms;
        cj::reported_organisations reported;
        reported.per_second[organisation(0)] = at < 150 ? 100 : first;
        reported.per_second[organisation(1)] = 100;
        reported.refused = at < 150 ? 0 : refused;
        shares.record_arrival(organisation(1), false, now);
        shares.update(reported, now);
    }
    return shares;
}

} // namespace

SCENARIO("decisions on single requests", "[route]")
{
    const auto end = start + 20s;
    GIVEN("an organisation above its share under overload")
    {
        auto shares = after_flood(900, 50);
        const auto decided = shares.decisions();
        THEN("the fraction beyond its level is refused, of the other none")
        {
            const auto& one = decided.at(organisation(0));
            CHECK(one.level >= 99);
            CHECK(one.fraction == Approx(1 - one.level / 900).margin(0.01));
            CHECK(decided.at(organisation(1)).fraction == 0);
            int beyond = 0;
            for (int at = 0; at < 100; ++at)
            {
                beyond +=
                    shares.record_arrival(organisation(0), false, end).beyond;
                CHECK_FALSE(
                    shares.record_arrival(organisation(1), false, end).beyond);
            }
            CHECK(beyond == Approx(100 * one.fraction).margin(2));
        }
        THEN("refusals by full engines count only within shares")
        {
            shares.record_refusal(decided.at(organisation(0)), end);
            CHECK(shares.own_refused(end) == 0);
            shares.record_refusal(decided.at(organisation(1)), end);
            CHECK(shares.own_refused(end) > 0);
        }
    }
    GIVEN("the same organisation without overload")
    {
        THEN("nothing is refused")
        {
            const auto decided = after_flood(900, 0).decisions();
            CHECK(decided.at(organisation(0)).fraction == 0);
        }
    }
    GIVEN("a single organisation")
    {
        cj::organisation_limits limits;
        limits.configure(configuration(1));
        const cj::organisation owner{organisation(0), 0, {}};
        THEN("it has no share and nothing is reported")
        {
            CHECK_FALSE(
                limits.record_arrival(service, &owner, false, end).applies);
            CHECK(limits.rates_to_report(8, end).empty());
        }
    }
    rc::prop("organisations at up to their usual load are never refused",
             []
             {
                 const auto first = *rc::gen::inRange(1, 2000);
                 const auto refused = *rc::gen::inRange(0, 500);
                 const auto decided = after_flood(first, refused).decisions();
                 RC_ASSERT(decided.at(organisation(1)).fraction == 0);
                 const auto& one = decided.at(organisation(0));
                 RC_ASSERT(one.fraction >= 0 && one.fraction < 1);
                 if (first <= 100 || refused == 0)
                     RC_ASSERT(one.fraction == 0);
                 // Never below the usual load.
                 RC_ASSERT((1 - one.fraction) * one.per_second >=
                           std::min<double>(first, 95));
             });
}

SCENARIO("rates that other entries reported", "[route]")
{
    cj::organisation_reports reports;
    const auto first = cj::make_rate_key(service, organisation(0));
    const auto second = cj::make_rate_key(service, organisation(1));
    reports.record("a", {{first, 5}, {second, 2}}, false, start);
    reports.record("b", {{first, 3}}, false, start);

    THEN("they are summed by organisation")
    {
        const auto sums = reports.sums(start + 900ms);
        CHECK(sums.per_second.at(first) == 8);
        CHECK(sums.per_second.at(second) == 2);
        CHECK(sums.oldest == 900ms);
    }
    THEN("an entry that is silent for a second is left out")
    {
        reports.record("b", {}, false, start + 600ms);
        const auto sums = reports.sums(start + 1100ms);
        CHECK(sums.per_second.at(first) == 3);
        CHECK(sums.per_second.count(second) == 0);
    }
    THEN("a complete report replaces earlier ones")
    {
        reports.record("a", {{first, 1}}, true, start + 500ms);
        const auto sums = reports.sums(start + 900ms);
        CHECK(sums.per_second.at(first) == 4);
        CHECK(sums.per_second.count(second) == 0);
    }
}

SCENARIO("more organisations than a report holds", "[route]")
{
    cj::organisation_limits limits;
    limits.configure(configuration());
    for (std::size_t who = 0; who < organisation_count; ++who)
        for (std::size_t count = 0; count < organisation_count - who; ++count)
        {
            const cj::organisation owner{organisation(who), 0, {}};
            limits.record_arrival(service, &owner, false, start);
        }
    std::map<cj::organisation_rate_key, int> seen;
    for (int report = 0; report < 6; ++report)
        for (const auto& one : limits.rates_to_report(8, start))
            ++seen[one.key];
    THEN("the largest are in each, the others in turn")
    {
        CHECK(seen.size() == organisation_count);
        CHECK(seen.at(cj::make_rate_key(service, organisation(0))) == 6);
        CHECK(seen.at(cj::make_rate_key(service, organisation(23))) == 1);
    }
}
