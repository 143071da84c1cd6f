#include "coursejunction/rollout/weights_record.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

namespace
{

cj::engine_report report_of(std::uint64_t life, std::uint64_t sequence)
{
    cj::engine_report made;
    made.model = "m";
    made.version = 2;
    made.life = cj::incarnation(life);
    made.sequence = sequence;
    return made;
}

} // namespace

SCENARIO("weights records are serialized and parsed", "[rollout]")
{
    const auto record = cj::weights_record::of(report_of(7, 3));
    const auto payload = cj::weights_record_payload(record);

    SECTION("all fields are preserved")
    {
        const auto read = cj::read_weights_record(payload);
        REQUIRE(read);
        CHECK(read.value() == record);
    }
    SECTION("a truncated one is rejected")
    {
        CHECK_FALSE(cj::read_weights_record(payload.substr(1)));
        CHECK_FALSE(cj::read_weights_record(""));
    }
}

// The count of load commands starts at 0 again, so that the record of an
// earlier incarnation would count for a later load.
SCENARIO("a record of an earlier incarnation is outdated", "[rollout]")
{
    SECTION("one that reports incarnations")
    {
        const auto record = cj::weights_record::of(report_of(7, 3));
        CHECK(record.is_outdated(report_of(8, 3)));
        CHECK_FALSE(record.is_outdated(report_of(7, 3)));
        CHECK_FALSE(record.is_outdated(report_of(7, 4)));
        CHECK_FALSE(record.is_outdated(report_of(6, 0)));
    }
    SECTION("one that does not")
    {
        const auto record = cj::weights_record::of(report_of(0, 3));
        CHECK(record.is_outdated(report_of(0, 2)));
        CHECK_FALSE(record.is_outdated(report_of(0, 3)));
        CHECK(record.is_outdated(report_of(1, 3)));
    }
}
