#include "coursejunction/fleet/version_gossip.hpp"

#include <catch2/catch.hpp>

#include "fleet/named_platform.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr cj::time_point now{100s};

/*! @brief The mirror and the view of one process. */
struct process
{
    void mirror_shows(const std::string& key, const std::string& payload)
    {
        ++revision;
        view.update(mirror,
                    mirror.apply({{key, payload, revision, 0, false, {}, 0}},
                                 revision, now));
    }

    void publish(std::uint64_t version)
    {
        mirror_shows(named_platform::name_key("m"), std::to_string(version));
    }

    void write_record(const cj::version_record& one)
    {
        mirror_shows(cj::version_record_key(one.model),
                     cj::version_record_payload(one));
    }

    cj::store_mirror mirror;
    named_platform::view view;
    std::uint64_t revision{0};
};

} // namespace

SCENARIO("a version that the store does not show spreads by gossip", "[fleet]")
{
    process first;
    first.publish(2);
    CHECK(cj::versions_to_gossip(first.view, now).empty());
    first.view.add_version("m", 3, now - 700ms);

    THEN("it is sent with its age")
    {
        const auto sent = cj::versions_to_gossip(first.view, now);
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].model == "m");
        CHECK(sent[0].version == 3);
        CHECK(sent[0].age_ms == 700);

        AND_WHEN("a peer receives it")
        {
            process peer;
            peer.publish(2);
            CHECK(cj::merge_gossiped_versions(peer.view, sent, now + 300ms));
            THEN("it derives the publication time, and a repetition changes "
                 "nothing")
            {
                CHECK(peer.view.newest("m") == 3);
                CHECK(peer.view.published_at("m", 3) == now - 400ms);
                CHECK_FALSE(
                    cj::merge_gossiped_versions(peer.view, sent, now + 900ms));
                CHECK(peer.view.published_at("m", 3) == now - 400ms);
            }
            THEN("the peer sends it on, with its age")
            {
                const auto relayed =
                    cj::versions_to_gossip(peer.view, now + 400ms);
                REQUIRE(relayed.size() == 1);
                CHECK(relayed[0].age_ms == 800);
            }
        }
        AND_WHEN("a peer that knows a newer version ignores it")
        {
            process peer;
            peer.publish(4);
            CHECK_FALSE(cj::merge_gossiped_versions(peer.view, sent, now));
            CHECK(peer.view.newest("m") == 4);
        }
    }
    THEN("it is sent until the version record contains it")
    {
        first.write_record({"m", 2, 1});
        CHECK(cj::versions_to_gossip(first.view, now).size() == 1);
        first.write_record({"m", 3, 2});
        CHECK(cj::versions_to_gossip(first.view, now).empty());
    }
    THEN("it is sent until the version key holds it")
    {
        first.publish(3);
        CHECK(cj::versions_to_gossip(first.view, now).empty());
        AND_WHEN("a late write reverts the version key, and it is sent again")
        {
            first.publish(2);
            CHECK(first.view.newest("m") == 3);
            CHECK(cj::versions_to_gossip(first.view, now).size() == 1);
        }
    }
}

SCENARIO("repeated reports of a version do not postpone its publication time",
         "[fleet]")
{
    process peer;
    peer.publish(2);
    cj::time_point moment = now;
    // The second source has just confirmed that no newer version exists.
    const auto estimate = [&](const std::string&, cj::time_point)
    { return moment; };
    REQUIRE(cj::merge_gossiped_versions(peer.view, {{"m", 3, 5000}}, moment,
                                        estimate));
    CHECK(peer.view.published_at("m", 3) == now);

    for (std::uint32_t passed = 1000; passed <= 10'000; passed += 1000)
    {
        moment = now + cj::milliseconds(passed);
        CHECK_FALSE(cj::merge_gossiped_versions(
            peer.view, {{"m", 3, 5000 + passed}}, moment, estimate));
    }
    CHECK(peer.view.published_at("m", 3) == now);
}

SCENARIO("implausible values from a peer do no harm", "[fleet]")
{
    process peer;
    peer.publish(2);
    SECTION("a number far above the newest")
    {
        CHECK_FALSE(cj::merge_gossiped_versions(
            peer.view, {{"m", 2 + cj::max_version_step + 1, 0}}, now));
        CHECK_FALSE(cj::merge_gossiped_versions(
            peer.view, {{"m", ~std::uint64_t{0}, 0}}, now));
        CHECK(peer.view.newest("m") == 2);
    }
    SECTION("a plausible version in the same message is used")
    {
        CHECK(cj::merge_gossiped_versions(
            peer.view, {{"m", 90'000, 0}, {"m", 3, 0}}, now));
        CHECK(peer.view.newest("m") == 3);
    }
    SECTION("an older version, or zero")
    {
        CHECK_FALSE(cj::merge_gossiped_versions(
            peer.view, {{"m", 1, 0}, {"m", 0, 0}}, now));
        CHECK(peer.view.newest("m") == 2);
    }
    SECTION("the greatest age saturates instead of wrapping around")
    {
        CHECK(cj::merge_gossiped_versions(peer.view,
                                          {{"m", 3, ~std::uint32_t{0}}}, now));
        CHECK(peer.view.published_at("m", 3) < now);
        const auto sent = cj::versions_to_gossip(peer.view, now + 1h);
        REQUIRE(sent.size() == 1);
        CHECK(sent[0].age_ms == ~std::uint32_t{0});
    }
}
