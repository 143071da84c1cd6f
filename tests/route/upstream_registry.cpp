#include "coursejunction/route/upstream_registry.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::instance_id id("i");
const std::string host = "10.0.0.1";

cj::upstream_record record(std::uint64_t life, bool leaving = false)
{
    cj::upstream_record one;
    one.id = id;
    one.life = cj::incarnation(life);
    one.service = cj::service_name("llm");
    one.address = host + ":80";
    one.slots = 4;
    one.leaving = leaving;
    one.model_versions["m"] = 1;
    return one;
}

cj::message::upstream_status status(std::uint64_t life, std::uint64_t sequence,
                                    std::uint64_t version = 1)
{
    cj::message::upstream_status one;
    one.model = "m";
    one.version = version;
    one.side = 5;
    one.sequence = sequence;
    one.life = life;
    one.open = version > 0;
    one.reachable = true;
    return one;
}

} // namespace

SCENARIO("an upstream starts again under its id", "[route]")
{
    const cj::time_point start{100s};
    cj::upstream_registry book;
    book.apply_record(record(1000));
    book.apply_status(host, status(1000, 1), start);
    book.begin_attempt(id, 1, 500, start + 10ms);
    book.apply_status(host, status(1000, 2), start + 500ms);
    book.begin_attempt(id, 2, 500, start + 550ms);
    const auto& known = *book.find(id);
    const auto ended_attempts = std::vector<std::uint64_t>{1};

    GIVEN("its side tells first")
    {
        const auto ended =
            book.apply_status(host, status(2000, 3, 0), start + 600ms);
        THEN("what went to the earlier life is lost, what may have met the new "
             "one is not")
        {
            REQUIRE(ended.size() == 1);
            CHECK(ended[0].address == host + ":80");
            CHECK(ended[0].attempts == ended_attempts);
            CHECK(known.attempts.size() == 1);
        }
        THEN("the weights of the earlier life are gone, whatever its record "
             "tells once the side is silent")
        {
            CHECK(cj::upstream_registry::served_version(known, "m",
                                                        start + 700ms) == 0);
            CHECK(cj::upstream_registry::served_version(known, "m",
                                                        start + 9s) == 0);
        }
        THEN("late news of the earlier life change nothing")
        {
            book.apply_status(host, status(1000, 9), start + 650ms);
            book.apply_record(record(1000, true));
            CHECK_FALSE(known.record.leaving);
            CHECK(known.status->life == 2000);
            CHECK(known.status->version == 0);
        }
        THEN("its record, when it comes, ends nothing again")
        {
            CHECK_FALSE(book.apply_record(record(2000)));
            CHECK(known.attempts.size() == 1);
        }
    }
    GIVEN("its record tells first")
    {
        const auto ended = book.apply_record(record(2000));
        REQUIRE(ended);
        CHECK(ended->attempts == ended_attempts);
        THEN("the status of the earlier life is forgotten, and does not return")
        {
            CHECK_FALSE(known.status);
            book.apply_status(host, status(1000, 7), start + 700ms);
            CHECK_FALSE(known.status);
        }
    }
    GIVEN("it was leaving, and avoided for its failures")
    {
        book.apply_record(record(1000, true));
        book.end_attempt(id, 2, cj::attempt_result::failed, start + 560ms);
        REQUIRE(known.avoid_until > start + 560ms);
        book.apply_record(record(2000));
        THEN("the new life is neither")
        {
            CHECK_FALSE(known.record.leaving);
            CHECK(known.avoid_until <= start + 560ms);
            CHECK(known.fault_share == 0);
        }
        THEN("an attempt of the earlier one that fails now is not held "
             "against it")
        {
            book.end_attempt(id, 1, cj::attempt_result::failed, start + 700ms);
            CHECK(known.fault_share == 0);
            CHECK(known.avoid_until <= start + 560ms);
        }
    }
    GIVEN("lives are not told")
    {
        cj::upstream_registry silent;
        silent.apply_record(record(0));
        silent.apply_status(host, status(0, 1), start);
        silent.begin_attempt(id, 1, 500, start);
        THEN("nothing is taken for a restart")
        {
            CHECK_FALSE(silent.apply_record(record(0)));
            CHECK(silent.apply_status(host, status(0, 2), start + 1s).empty());
            CHECK(silent.find(id)->attempts.size() == 1);
        }
    }
}

SCENARIO("statuses come by two ways", "[route]")
{
    const cj::time_point start{100s};
    cj::upstream_registry book;
    book.apply_record(record(0));
    book.apply_status(host, status(0, 4, 0), start);

    THEN("one that was passed on late does not open what has closed")
    {
        book.apply_status(host, status(0, 3, 1), start + 100ms);
        CHECK_FALSE(book.find(id)->status->open);
    }
    THEN("a side that has started anew counts from the start")
    {
        auto told = status(0, 1, 1);
        told.side = 6;
        book.apply_status(host, told, start + 100ms);
        CHECK(book.find(id)->status->open);
    }
}
