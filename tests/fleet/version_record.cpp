#include "coursejunction/fleet/version_record.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;

SCENARIO("version records are serialized and parsed", "[fleet]")
{
    const version_record record{"m", 5, 4};
    const auto key = version_record_key("m");
    const auto payload = version_record_payload(record);

    SECTION("all fields are preserved")
    {
        const auto read = read_version_record(key, payload);
        REQUIRE(read);
        CHECK(read.value().model == "m");
        CHECK(read.value().newest == 5);
        CHECK(read.value().minimum == 4);
    }
    SECTION("a record under another model's key or a truncated one is rejected")
    {
        CHECK_FALSE(read_version_record(version_record_key("n"), payload));
        CHECK_FALSE(read_version_record(key, payload.substr(1)));
        CHECK_FALSE(read_version_record(key, ""));
    }
    SECTION("a minimum above the newest version is rejected")
    {
        CHECK_FALSE(read_version_record(
            key, version_record_payload(version_record{"m", 5, 6})));
    }
}

SCENARIO("merging records keeps the higher numbers", "[fleet]")
{
    version_record one{"m", 5, 2};
    const version_record other{"m", 4, 3};
    CHECK_FALSE(one.covers(other));
    one.merge(other);
    CHECK(one.newest == 5);
    CHECK(one.minimum == 3);
    CHECK(one.covers(other));
}
