#include <cstdint>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "placement_fixtures.hpp"

namespace cj = coursejunction;
using namespace placement_test;

namespace
{

constexpr auto host = "10.1.0.1";
constexpr auto after_expiry = cj::upstream_registry::status_validity + 1ms;

/*! @brief An entry that knows one upstream, whose sidecar may close it. */
struct one_upstream
{
    one_upstream() { registry.apply_record(with_life(1)); }

    [[nodiscard]] static cj::upstream_record with_life(std::uint64_t number)
    {
        auto made = record("u", "h", std::string(host) + ":80");
        made.life = cj::incarnation(number);
        return made;
    }

    void report(std::uint64_t sequence, bool open, std::uint64_t side = 1,
                std::uint64_t life = 1)
    {
        auto reported = status(sequence);
        reported.open = open;
        reported.side = side;
        reported.life = life;
        registry.apply_status(host, reported, now);
    }

    [[nodiscard]] bool is_used() const
    {
        cj::placement_failure failure;
        const cj::placer placement({}, cj::hall_id("h"), "self");
        return placement
            .choose(registry, llm(), default_request(), now, failure)
            .has_value();
    }

    cj::upstream_registry registry;
    cj::time_point now{100s};
};

} // namespace

// A sidecar that stands still during a load can't find out that its upstream
// took incomplete weights, and the record names a version all the same.
SCENARIO("an upstream that was closed for a load is used again because its "
         "sidecar is not heard any more",
         "[route]")
{
    one_upstream entry;
    entry.report(1, true);
    REQUIRE(entry.is_used());
    entry.report(2, false);
    REQUIRE_FALSE(entry.is_used());

    WHEN("its last status expires")
    {
        entry.now += after_expiry;
        THEN("it stays closed")
        {
            CHECK_FALSE(entry.is_used());
            entry.now += 60s;
            CHECK_FALSE(entry.is_used());
        }
        THEN("its record does not open it")
        {
            entry.registry.apply_record(one_upstream::with_life(1));
            CHECK_FALSE(entry.is_used());
        }
        THEN("its record does not open it after it expired and returned")
        {
            entry.registry.remove(cj::instance_id("u"), std::nullopt,
                                  entry.now);
            entry.now += 3s;
            entry.registry.expire(entry.now);
            entry.registry.apply_record(one_upstream::with_life(1));
            CHECK_FALSE(entry.is_used());
        }
        THEN("an earlier status that arrives late does not open it")
        {
            entry.report(1, true);
            CHECK_FALSE(entry.is_used());
        }
        THEN("a newer status opens it")
        {
            entry.report(3, true);
            CHECK(entry.is_used());
        }
        THEN("the status of its restarted sidecar opens it")
        {
            entry.report(1, true, 2);
            CHECK(entry.is_used());
        }
        THEN("a later incarnation is used once its sidecar has reported it")
        {
            entry.registry.apply_record(one_upstream::with_life(2));
            CHECK(entry.registry.find(cj::instance_id("u"))->life ==
                  cj::incarnation(2));
            entry.now += 10s;
            CHECK_FALSE(entry.is_used());
            entry.report(3, true, 1, 2);
            CHECK(entry.is_used());
        }
    }
}

// A sidecar whose announcement that it closes its upstream was lost, and which
// is suspended then, has not checked the weights that the record names.
SCENARIO("weights that no sidecar has announced are used by the record",
         "[route]")
{
    one_upstream entry;
    entry.report(1, true);
    REQUIRE(entry.is_used());
    auto reloaded = one_upstream::with_life(1);
    for (auto& [model, version] : reloaded.model_versions)
        ++version;
    entry.registry.apply_record(reloaded);
    entry.now += after_expiry;
    CHECK_FALSE(entry.is_used());
}

// An entry that started while a sidecar was suspended before its check of the
// loaded weights sent requests to wrong weights, which the record named.
SCENARIO("an upstream that no sidecar has reported is used by its record",
         "[route]")
{
    one_upstream entry;
    CHECK_FALSE(entry.is_used());
    entry.now += 60s;
    entry.registry.apply_record(one_upstream::with_life(1));
    CHECK_FALSE(entry.is_used());

    WHEN("its sidecar reports that it is open")
    {
        entry.report(1, true);
        THEN("it is used")
        {
            CHECK(entry.is_used());
        }
        THEN("it is not used after its record was removed and came back")
        {
            entry.registry.remove(cj::instance_id("u"), std::nullopt,
                                  entry.now);
            entry.registry.apply_record(one_upstream::with_life(1));
            CHECK_FALSE(entry.is_used());
            entry.report(2, true);
            CHECK(entry.is_used());
        }
    }
}

SCENARIO("an upstream that no sidecar has closed is not used any more",
         "[route]")
{
    one_upstream entry;
    SECTION("one whose last status was open is used by its record when that "
            "has expired")
    {
        entry.report(1, true);
        entry.now += after_expiry;
        CHECK(entry.is_used());
    }
    SECTION("a status that says that it is not reachable expires")
    {
        auto reported = status(1);
        reported.life = 1;
        reported.reachable = false;
        entry.registry.apply_status(host, reported, entry.now);
        REQUIRE_FALSE(entry.is_used());
        entry.now += after_expiry;
        CHECK(entry.is_used());
    }
}
