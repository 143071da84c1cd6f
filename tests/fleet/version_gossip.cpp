#include "coursejunction/fleet/version_gossip.hpp"

#include <catch2/catch.hpp>

#include "fleet/named_platform.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr cj::time_point now{100s};

/*! @brief One process's mirror and what it knows. */
struct process
{
    void shows(const std::string& key, const std::string& payload)
    {
        ++revision;
        view.update(mirror,
                    mirror.apply({{key, payload, revision, 0, false, {}, 0}},
                                 revision, now));
    }

    void names(std::uint64_t version)
    {
        shows(named_platform::name_key("m"), std::to_string(version));
    }

    void records(const cj::version_record& one)
    {
        shows(cj::version_record_key(one.model),
              cj::version_record_payload(one));
    }

    cj::store_mirror mirror;
    named_platform::view view;
    std::uint64_t revision{0};
};

} // namespace

SCENARIO("a version that the store does not show goes from process to process",
         "[fleet]")
{
    process first;
    first.names(2);
    CHECK(cj::versions_to_gossip(first.view, now).empty());
    first.view.add_version("m", 3, now - 700ms);

    THEN("it is told with its age")
    {
        const auto told = cj::versions_to_gossip(first.view, now);
        REQUIRE(told.size() == 1);
        CHECK(told[0].model == "m");
        CHECK(told[0].version == 3);
        CHECK(told[0].age_ms == 700);

        AND_WHEN("a peer hears it")
        {
            process peer;
            peer.names(2);
            CHECK(cj::merge_gossiped_versions(peer.view, told, now + 300ms));
            THEN("it has the time of the naming, and hears nothing new twice")
            {
                CHECK(peer.view.newest("m") == 3);
                CHECK(peer.view.published_at("m", 3) == now - 400ms);
                CHECK_FALSE(
                    cj::merge_gossiped_versions(peer.view, told, now + 900ms));
                CHECK(peer.view.published_at("m", 3) == now - 400ms);
            }
            THEN("it tells it on")
            {
                const auto on = cj::versions_to_gossip(peer.view, now + 400ms);
                REQUIRE(on.size() == 1);
                CHECK(on[0].age_ms == 800);
            }
        }
        AND_WHEN("a peer knows a newer one")
        {
            process peer;
            peer.names(4);
            CHECK_FALSE(cj::merge_gossiped_versions(peer.view, told, now));
            CHECK(peer.view.newest("m") == 4);
        }
    }
    THEN("it is told until the store's record shows it")
    {
        first.records({"m", 2, 1});
        CHECK(cj::versions_to_gossip(first.view, now).size() == 1);
        first.records({"m", 3, 2});
        CHECK(cj::versions_to_gossip(first.view, now).empty());
    }
    THEN("it is told until the store names it")
    {
        first.names(3);
        CHECK(cj::versions_to_gossip(first.view, now).empty());
        AND_WHEN("a late write takes the name back")
        {
            first.names(2);
            CHECK(first.view.newest("m") == 3);
            CHECK(cj::versions_to_gossip(first.view, now).size() == 1);
        }
    }
}

SCENARIO("a told version binds although its naming is told again and again",
         "[fleet]")
{
    process one;
    one.names(2);
    cj::time_point moment = now;
    // Here the source confirmed a moment ago that nothing newer is named.
    const auto confirmed = [&](const std::string&, cj::time_point)
    { return moment; };
    REQUIRE(cj::merge_gossiped_versions(one.view, {{"m", 3, 5000}}, moment,
                                        confirmed));
    CHECK(one.view.published_at("m", 3) == now);

    for (std::uint32_t passed = 1000; passed <= 10'000; passed += 1000)
    {
        moment = now + cj::milliseconds(passed);
        CHECK_FALSE(cj::merge_gossiped_versions(
            one.view, {{"m", 3, 5000 + passed}}, moment, confirmed));
    }
    CHECK(one.view.published_at("m", 3) == now);
}

SCENARIO("a peer that tells nonsense binds nobody", "[fleet]")
{
    process one;
    one.names(2);
    SECTION("a number far ahead")
    {
        CHECK_FALSE(cj::merge_gossiped_versions(
            one.view, {{"m", 2 + cj::max_version_step + 1, 0}}, now));
        CHECK_FALSE(cj::merge_gossiped_versions(
            one.view, {{"m", ~std::uint64_t{0}, 0}}, now));
        CHECK(one.view.newest("m") == 2);
    }
    SECTION("beside a version that can be")
    {
        CHECK(cj::merge_gossiped_versions(
            one.view, {{"m", 90'000, 0}, {"m", 3, 0}}, now));
        CHECK(one.view.newest("m") == 3);
    }
    SECTION("an older one, or none")
    {
        CHECK_FALSE(cj::merge_gossiped_versions(
            one.view, {{"m", 1, 0}, {"m", 0, 0}}, now));
        CHECK(one.view.newest("m") == 2);
    }
    SECTION("an age that is longer than any clock runs")
    {
        CHECK(cj::merge_gossiped_versions(one.view,
                                          {{"m", 3, ~std::uint32_t{0}}}, now));
        CHECK(one.view.published_at("m", 3) < now);
        const auto told = cj::versions_to_gossip(one.view, now + 1h);
        REQUIRE(told.size() == 1);
        // It stays old, rather than to begin anew.
        CHECK(told[0].age_ms == ~std::uint32_t{0});
    }
}
