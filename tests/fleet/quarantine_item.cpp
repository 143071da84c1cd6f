#include "coursejunction/fleet/quarantine_item.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace coursejunction;

namespace
{

constexpr std::int64_t wall_ms = 1'796'000'000'000;

message::crash_record three_crashes(const request_content& content)
{
    return {content, {{1, 1}, {2, 1}, {3, 2}}, {2}, 500};
}

} // namespace

TEST_CASE("quarantines are serialized and parsed", "[fleet]")
{
    const auto crashing = request_content::of("school", "/essays", "bad");
    const auto key = quarantine_key(crashing);
    const auto payload = quarantine_payload(three_crashes(crashing), wall_ms);

    SECTION("the crashes are preserved, and the age includes the time since")
    {
        const auto read = read_quarantine(key, payload, wall_ms + 60'000);
        REQUIRE(read);
        CHECK(read.value().content == crashing);
        CHECK(read.value().crashes.size() == 3);
        CHECK(read.value().crashes[2].evidence == 2);
        CHECK(read.value().cleared == std::vector<std::uint64_t>{2});
        CHECK(read.value().age_ms == 60'500);
    }
    SECTION("the age is zero on an instance whose clock is behind")
    {
        CHECK(read_quarantine(key, payload, wall_ms - 9'000).value().age_ms ==
              0);
    }
    SECTION("the age is limited to what its field holds")
    {
        constexpr std::int64_t years = 200'000'000'000;
        CHECK(read_quarantine(key, payload, wall_ms + years).value().age_ms ==
              0xffffffffU);
    }
    SECTION("a malformed quarantine, or one under another key, is rejected")
    {
        const auto other = request_content::of("school", "/essays", "good");
        CHECK_FALSE(read_quarantine(quarantine_key(other), payload, wall_ms));
        CHECK_FALSE(read_quarantine("quarantine/x", payload, wall_ms));
        CHECK_FALSE(read_quarantine("q", payload, wall_ms));
        CHECK_FALSE(read_quarantine(key, payload + "x", wall_ms));
        CHECK_FALSE(read_quarantine(key, "{}", wall_ms));
    }
    rc::prop("any bytes are parsed or rejected", [&](const std::string& bytes)
             { static_cast<void>(read_quarantine(key, bytes, wall_ms)); });
}
