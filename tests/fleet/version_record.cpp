#include "coursejunction/fleet/version_record.hpp"

#include <catch2/catch.hpp>

using namespace coursejunction;

SCENARIO("records of versions go through the store and back", "[fleet]")
{
    const version_record record{"m", 5, 4};
    const auto key = version_record_key("m");
    const auto payload = version_record_payload(record);

    SECTION("whole")
    {
        const auto read = read_version_record(key, payload);
        REQUIRE(read);
        CHECK(read.value().model == "m");
        CHECK(read.value().newest == 5);
        CHECK(read.value().minimum == 4);
    }
    SECTION("not under another model's key, nor cut off")
    {
        CHECK_FALSE(read_version_record(version_record_key("n"), payload));
        CHECK_FALSE(read_version_record(key, payload.substr(1)));
        CHECK_FALSE(read_version_record(key, ""));
    }
    SECTION("nor one in which a version binds that was never named")
    {
        CHECK_FALSE(read_version_record(
            key, version_record_payload(version_record{"m", 5, 6})));
    }
}

SCENARIO("what two records know of a model's versions is joined", "[fleet]")
{
    version_record one{"m", 5, 2};
    const version_record other{"m", 4, 3};
    CHECK_FALSE(one.covers(other));
    one.merge(other);
    CHECK(one.newest == 5);
    CHECK(one.minimum == 3);
    CHECK(one.covers(other));
}
