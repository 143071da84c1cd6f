#include "coursejunction/fleet/quarantine_item.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace coursejunction;

namespace
{

constexpr std::int64_t wall = 1'796'000'000'000;

message::crash_record three_ends(const request_content& what)
{
    return {what, {{1, 1}, {2, 1}, {3, 2}}, {2}, 500};
}

} // namespace

TEST_CASE("a quarantine is kept in the store and read back", "[fleet]")
{
    const auto bad = request_content::of("school", "/essays", "bad");
    const auto key = quarantine_key(bad);
    const auto payload = quarantine_payload(three_ends(bad), wall);

    SECTION("with its ends, and as old as it is by then")
    {
        const auto read = read_quarantine(key, payload, wall + 60'000);
        REQUIRE(read);
        CHECK(read.value().content == bad);
        CHECK(read.value().crashes.size() == 3);
        CHECK(read.value().crashes[2].evidence == 2);
        CHECK(read.value().cleared == std::vector<std::uint64_t>{2});
        CHECK(read.value().age_ms == 60'500);
    }
    SECTION("by an instance whose time of day is behind: it has just been")
    {
        CHECK(read_quarantine(key, payload, wall - 9'000).value().age_ms == 0);
    }
    SECTION("years later")
    {
        constexpr std::int64_t years = 200'000'000'000;
        CHECK(read_quarantine(key, payload, wall + years).value().age_ms ==
              0xffffffffU);
    }
    SECTION("but not under another key, nor what is none")
    {
        const auto other = request_content::of("school", "/essays", "good");
        CHECK_FALSE(read_quarantine(quarantine_key(other), payload, wall));
        CHECK_FALSE(read_quarantine("quarantine/x", payload, wall));
        CHECK_FALSE(read_quarantine("q", payload, wall));
        CHECK_FALSE(read_quarantine(key, payload + "x", wall));
        CHECK_FALSE(read_quarantine(key, "{}", wall));
    }
    rc::prop("any bytes are read or refused", [&](const std::string& bytes)
             { static_cast<void>(read_quarantine(key, bytes, wall)); });
}
