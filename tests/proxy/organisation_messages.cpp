#include "coursejunction/proxy/organisation_messages.hpp"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/wire/codec.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
namespace message = coursejunction::message;
using namespace std::chrono_literals;

namespace
{

const cj::time_point now{100s};
const cj::service_name service("s");

cj::installation configuration(std::size_t organisations)
{
    cj::installation rules;
    cj::service_profile profile;
    profile.name = service;
    profile.engine = cj::engine_profile{};
    rules.services[service] = profile;
    for (std::size_t at = 0; at < organisations; ++at)
        rules.keys["key" + std::to_string(at)].id =
            cj::organisation_id("o" + std::to_string(at));
    return rules;
}

cj::organisation_limits busy_limits(std::size_t organisations)
{
    cj::organisation_limits limits;
    const auto rules = configuration(organisations);
    limits.configure(rules);
    for (const auto& [key, owner] : rules.keys)
        for (int count = 0; count < 10; ++count)
            limits.record_arrival(service, &owner, false, now);
    return limits;
}

} // namespace

SCENARIO("rates of organisations in heartbeats", "[proxy]")
{
    message::fleet_heartbeat heartbeat;
    heartbeat.entry = true;
    const auto without = cj::encode(heartbeat);

    GIVEN("many organisations")
    {
        auto limits = busy_limits(300);
        heartbeat.organisations.items =
            cj::organisation_rates_to_report(limits, now);
        THEN("a report is bounded in number and bytes")
        {
            CHECK(heartbeat.organisations.items.size() ==
                  cj::max_organisation_rates_per_heartbeat);
            CHECK(cj::encode(heartbeat).size() - without.size() == 52);
        }
        THEN("it is decoded as it was encoded")
        {
            const auto read =
                cj::decode<message::fleet_heartbeat>(cj::encode(heartbeat));
            REQUIRE(read);
            const auto& items = read.value().organisations.items;
            REQUIRE(items.size() == 8);
            CHECK(items[0].key == heartbeat.organisations.items[0].key);
            CHECK(items[0].per_second == 10 * 64);
        }
    }
    GIVEN("a single organisation")
    {
        auto limits = busy_limits(1);
        THEN("heartbeats are as before there were rates")
        {
            heartbeat.organisations.items =
                cj::organisation_rates_to_report(limits, now);
            CHECK(cj::encode(heartbeat) == without);
        }
    }
    // Guards against heartbeats of older entries that are refused.
    GIVEN("a heartbeat of an entry that does not know rates")
    {
        THEN("it is decoded")
        {
            const auto read = cj::decode<message::fleet_heartbeat>(without);
            REQUIRE(read);
            CHECK(read.value().organisations.items.empty());
        }
        THEN("bytes that are no list are refused")
        {
            CHECK_FALSE(cj::decode<message::fleet_heartbeat>(without + "x"));
            CHECK_FALSE(cj::decode<message::fleet_heartbeat>(
                without + std::string("\xff\xff\xff\x7f", 4)));
        }
    }
    rc::prop("any rates pass through a heartbeat",
             [](const std::vector<std::pair<std::uint32_t, std::uint16_t>>& all)
             {
                 message::fleet_heartbeat from;
                 from.entry = true;
                 for (const auto& [key, rate] : all)
                     from.organisations.items.push_back({key, rate});
                 const auto read =
                     cj::decode<message::fleet_heartbeat>(cj::encode(from));
                 RC_ASSERT(read);
                 const auto& items = read.value().organisations.items;
                 RC_ASSERT(items.size() == all.size());
                 for (std::size_t at = 0; at < all.size(); ++at)
                 {
                     RC_ASSERT(items[at].key == all[at].first);
                     RC_ASSERT(items[at].per_second == all[at].second);
                 }
             });
}

SCENARIO("bytes of reports with the number of entries", "[proxy]")
{
    const auto entries = GENERATE(std::size_t{1}, 12, 53, 120, 340, 1000);
    int sent = 0;
    for (std::uint64_t number = 0; number < 120; ++number)
        sent += cj::carries_organisation_rates(number, entries) ? 1 : 0;
    // One in four regular heartbeats may carry rates, which is one per 800 ms.
    const auto bytes_per_second =
        sent / 120.0 / 0.8 * 52 * static_cast<double>(entries);
    CAPTURE(entries);
    CHECK(sent > 0);
    CHECK(bytes_per_second <= 8'000);
}

// Guards against a flood that reaches the other entries only, and against
// refusals of callers at their usual load.
SCENARIO("an entry hears of a flood at another one", "[proxy]")
{
    proxy_test::entry_on_loopback entry;
    loopback::running_loop* loop = &entry.running;
    auto rules = std::make_shared<cj::installation>(configuration(2));
    cj::route_rule route;
    route.name = "r";
    route.host = "h";
    route.prefix = "/";
    route.timeout = 5000ms;
    route.first_event_target = 1000ms;
    route.services = {{service, 1}};
    rules->routes.push_back(route);
    rules->requires_key = true;
    loop->on_loop([&] { entry.service->configure(rules); });
    const auto key = [](const std::string& id)
    { return cj::make_rate_key(service, cj::organisation_id(id)).value(); };
    const auto refusals = cj::make_rate_key(service, {}).value();
    // Past times, as the history takes seconds.
    const auto end = cj::event_loop::now();
    const auto report = [&](std::uint16_t first, std::uint16_t refused,
                            cj::time_point from, cj::time_point to)
    {
        loop->on_loop(
            [&]
            {
                auto& limits = entry.service->dispatching().organisations();
                for (auto at = from; at < to; at += 200ms)
                {
                    cj::merge_organisation_rates(limits, "10.1.0.2",
                                                 {{key("o0"), first},
                                                  {key("o1"), 6400},
                                                  {refusals, refused}},
                                                 at);
                    limits.update(at);
                }
            });
    };
    report(6400, 0, end - 40s, end - 5s);
    report(57'600, 3200, end - 5s, end);

    WHEN("requests of both organisations arrive")
    {
        int refused = 0;
        for (int count = 0; count < 20; ++count)
            refused +=
                entry.ask("/x", "Key: key0\r\n").find(" 503 ") !=
                    std::string::npos &&
                entry.counters.text().find("beyond_share") != std::string::npos;
        const auto flooder = entry.counters.text();
        static_cast<void>(entry.ask("/x", "Key: key1\r\n"));
        loop->on_loop([&] { entry.service->expire(cj::event_loop::now()); });
        THEN("those beyond the level are refused at once, and counted")
        {
            CHECK(refused > 10);
            const auto line = flooder.find("reason=\"beyond_share\"");
            REQUIRE(line != std::string::npos);
            const auto after = entry.counters.text();
            CHECK(after.find("organisation=\"o0\"") != std::string::npos);
            const auto count = [](const std::string& text)
            {
                const auto at = text.find("reason=\"beyond_share\"");
                const auto value = text.find("} ", at);
                return std::stod(text.substr(value + 2));
            };
            CHECK(count(flooder) > 10);
            CHECK(count(after) == count(flooder));
        }
    }
}
