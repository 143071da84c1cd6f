#include "coursejunction/route/placement.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::upstream_record record(const std::string& id, const std::string& hall,
                           const std::string& address)
{
    cj::upstream_record one;
    one.id = cj::instance_id(id);
    one.service = cj::service_name("llm");
    one.address = address;
    one.hall = cj::hall_id(hall);
    one.slots = 4;
    one.weights["m"] = 1;
    return one;
}

cj::service_profile llm()
{
    cj::service_profile one;
    one.name = cj::service_name("llm");
    cj::engine_profile engine;
    engine.slots = 4;
    engine.step_ms = 9;
    engine.read_per_ms = 19;
    engine.stride = 5;
    one.engine = engine;
    return one;
}

cj::message::upstream_status status(std::uint64_t sequence)
{
    cj::message::upstream_status one;
    one.model = "m";
    one.version = 1;
    one.sequence = sequence;
    one.open = true;
    one.reachable = true;
    return one;
}

cj::placement_request wanted()
{
    cj::placement_request one;
    one.service = cj::service_name("llm");
    one.model = "m";
    one.min_version = 1;
    one.prompt_tokens = 1000;
    one.target = 400ms;
    one.limits.first_event_ms = 460;
    return one;
}

} // namespace

SCENARIO("a request goes where its first event is met", "[route]")
{
    cj::upstream_registry book;
    const cj::time_point now{100s};
    const cj::placer places({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure why;
    book.apply_record(record("near", "north", "10.0.0.1:80"));
    book.apply_record(record("far", "south", "10.0.0.2:80"));
    book.apply_status("10.0.0.1", status(1), now);
    book.apply_status("10.0.0.2", status(1), now);

    THEN("the own hall is preferred")
    {
        const auto at = places.choose(book, service, wanted(), now, why);
        REQUIRE(at);
        CHECK(at->upstream.value() == "near");
        CHECK(at->version == 1);
    }
    GIVEN("the near one is full")
    {
        auto told = status(2);
        told.running = 12;
        book.apply_status("10.0.0.1", told, now);
        const auto at = places.choose(book, service, wanted(), now, why);
        REQUIRE(at);
        CHECK(at->upstream.value() == "far");
        AND_GIVEN("the far one too")
        {
            book.apply_status("10.0.0.2", told, now);
            THEN("nothing is placed, and it is told when a place is expected")
            {
                CHECK_FALSE(places.choose(book, service, wanted(), now, why));
                CHECK(why.usable == 2);
                CHECK(why.least_ms > 360);
            }
            THEN("a stream that must go on is placed all the same")
            {
                auto must = wanted();
                must.bypasses_limits = true;
                CHECK(places.choose(book, service, must, now, why));
            }
        }
    }
    GIVEN("the near one closes to load other weights")
    {
        auto told = status(2);
        told.open = false;
        book.apply_status("10.0.0.1", told, now);
        CHECK(places.choose(book, service, wanted(), now, why)
                  ->upstream.value() == "far");
    }
    GIVEN("older weights may no longer be used")
    {
        auto newer = wanted();
        newer.min_version = 2;
        CHECK_FALSE(places.choose(book, service, newer, now, why));
        CHECK(why.usable == 0);
        auto told = status(2);
        told.version = 2;
        book.apply_status("10.0.0.2", told, now);
        CHECK(places.choose(book, service, newer, now, why)->version == 2);
    }
    GIVEN("the near one is leaving")
    {
        auto leaving = record("near", "north", "10.0.0.1:80");
        leaving.leaving = true;
        book.apply_record(leaving);
        CHECK(places.choose(book, service, wanted(), now, why)
                  ->upstream.value() == "far");
    }
    GIVEN("the near one answered with a failure of its own")
    {
        book.begin_attempt(cj::instance_id("near"), 1, 1000, now);
        book.end_attempt(cj::instance_id("near"), 1,
                         cj::attempt_result::answered_failure, now);
        THEN("it lives, and is used less")
        {
            CHECK(book.find(cj::instance_id("near"))->avoid_until <= now);
            const auto at = places.choose(book, service, wanted(), now, why);
            REQUIRE(at);
            CHECK(at->upstream.value() == "far");
        }
        THEN("it takes the request again where nothing else is usable")
        {
            book.remove(cj::instance_id("far"), false, now);
            auto again = wanted();
            again.excluded = {cj::instance_id("near")};
            CHECK_FALSE(places.choose(book, service, again, now, why));
            again.may_reuse_excluded = true;
            CHECK(places.choose(book, service, again, now, why));
        }
    }
    GIVEN("an attempt at the near one failed")
    {
        book.begin_attempt(cj::instance_id("near"), 1, 1000, now);
        book.end_attempt(cj::instance_id("near"), 1, cj::attempt_result::failed,
                         now);
        CHECK(places.choose(book, service, wanted(), now, why)
                  ->upstream.value() == "far");
    }
    GIVEN("the side is silent")
    {
        const auto later = now + 5s;
        THEN("the record's version and the own attempts decide")
        {
            CHECK(places.choose(book, service, wanted(), later, why));
        }
    }
}

SCENARIO("every way to an upstream keeps to the terms that it named", "[route]")
{
    cj::upstream_registry book;
    const cj::time_point now{100s};
    const cj::placer places({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    const cj::instance_id near("near");
    cj::placement_failure why;
    book.apply_record(record("near", "north", "10.0.0.1:80"));
    book.apply_status("10.0.0.1", status(1), now);

    cj::received_notice told;
    const int kind = GENERATE(0, 1, 2);
    if (kind == 0)
        told.notice.leaving = true;
    else if (kind == 1)
        told.notice.retry_after = 3s;
    else
        told.notice.requests_per_second = 1;
    book.apply_notice(near, told, now);
    // What its side goes on to tell changes nothing.
    book.apply_status("10.0.0.1", status(2), now + 10ms);
    const auto later = now + 100ms;

    auto asked = wanted();
    SECTION("a first attempt") {}
    SECTION("a stream that goes on")
    {
        asked.bypasses_limits = true;
    }
    SECTION("a second one after its own failure")
    {
        asked.may_reuse_excluded = true;
        asked.excluded = {near};
    }
    SECTION("where requests are kept apart")
    {
        asked.avoided = {near};
    }
    CHECK_FALSE(places.choose(book, service, asked, later, why));
}

SCENARIO("it is known when upstreams that rest take requests again", "[route]")
{
    cj::upstream_registry book;
    const cj::time_point now{100s};
    const cj::placer places({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure why;
    cj::received_notice rests;
    for (const std::string id : {"1", "2"})
    {
        book.apply_record(record(id, "north", "10.0.0." + id + ":80"));
        book.apply_status("10.0.0." + id, status(1), now);
        rests.notice.retry_after = 1000ms * std::stoi(id);
        book.apply_notice(cj::instance_id(id), rests, now);
    }
    CHECK_FALSE(places.choose(book, service, wanted(), now, why));
    CHECK(why.next_send_at == now + 1s);

    SECTION("the one that it was tried at does not count")
    {
        auto asked = wanted();
        asked.excluded = {cj::instance_id("1")};
        CHECK_FALSE(places.choose(book, service, asked, now, why));
        CHECK(why.next_send_at == now + 2s);
    }
    SECTION("one that loads weights may open at any time")
    {
        book.apply_record(record("3", "north", "10.0.0.3:80"));
        auto loads = status(1);
        loads.open = false;
        book.apply_status("10.0.0.3", loads, now);
        CHECK_FALSE(places.choose(book, service, wanted(), now, why));
        CHECK_FALSE(why.next_send_at);
    }
    SECTION("one that leaves won't")
    {
        auto leaves = record("3", "north", "10.0.0.3:80");
        leaves.leaving = true;
        book.apply_record(leaves);
        CHECK_FALSE(places.choose(book, service, wanted(), now, why));
        CHECK(why.next_send_at == now + 1s);
    }
}

SCENARIO("records that went while the store was away may come back", "[route]")
{
    cj::upstream_registry book;
    const cj::time_point now{100s};
    const cj::instance_id id("near");
    book.apply_record(record("near", "north", "10.0.0.1:80"));

    WHEN("one goes in an outage")
    {
        book.remove(id, true, now);
        book.expire(now + 1s);
        CHECK(book.find(id) != nullptr);
        THEN("it is gone after the grace")
        {
            book.expire(now + 2s);
            CHECK(book.find(id) == nullptr);
        }
        THEN("it stays when it comes back")
        {
            book.apply_record(record("near", "north", "10.0.0.1:80"));
            book.expire(now + 10s);
            CHECK(book.find(id) != nullptr);
        }
    }
    WHEN("one goes otherwise")
    {
        book.remove(id, false, now);
        THEN("it is gone at once")
        {
            CHECK(book.find(id) == nullptr);
        }
    }
}

SCENARIO("what others send unseen is counted", "[route]")
{
    cj::upstream_registry book;
    const cj::time_point now{100s};
    const cj::instance_id id("near");
    const auto service = llm();
    book.apply_record(record("near", "north", "10.0.0.1:80"));
    book.apply_status("10.0.0.1", status(1), now);
    book.begin_attempt(id, 1, 1000, now + 20ms);
    const auto load = [&]
    { return book.load(*book.find(id), *service.engine, now + 20ms); };

    THEN("a lone entry counts its own request")
    {
        CHECK(load().running == Approx(1));
        CHECK(load().unread_tokens == Approx(1000));
    }
    GIVEN("five entries that see the same empty upstream")
    {
        book.set_entry_count(5);
        THEN("two of the others are taken to send as often as this one")
        {
            const auto own =
                1 / cj::to_seconds(cj::smoothed_rate::default_window);
            CHECK(book.other_entries_rate(now + 20ms) == Approx(2 * own));
        }
        CHECK(load().running == Approx(3));
        CHECK(load().unread_tokens == Approx(3000));
        THEN("more than the own request stands for is counted when expected")
        {
            const auto more = [&](double others) {
                return book.load(*book.find(id), *service.engine, now + 50ms,
                                 others);
            };
            CHECK(more(40).expected == Approx(2));
            CHECK(more(40).running == Approx(3));
            CHECK(more(100).running == Approx(1 + 5));
        }
        THEN("nothing was sent yet, but others are expected to have")
        {
            book.end_attempt(id, 1, cj::attempt_result::succeeded, now + 20ms);
            CHECK(book.load(*book.find(id), *service.engine, now + 50ms, 40.0)
                      .running == Approx(2));
        }
        AND_WHEN("a status tells of it")
        {
            auto told = status(2);
            told.running = 1;
            book.apply_status("10.0.0.1", told, now + 50ms);
            THEN("it is counted once")
            {
                CHECK(load().running == Approx(1));
            }
        }
    }
}

SCENARIO("entries do not all choose an upstream that has just opened",
         "[route]")
{
    constexpr std::size_t entry_count = 16;
    constexpr std::size_t upstream_count = 25;
    const auto service = llm();
    cj::time_point now{100s};
    std::vector<cj::upstream_registry> books(entry_count);
    std::vector<cj::placer> placers;
    for (std::size_t at = 0; at < entry_count; ++at)
        placers.emplace_back(cj::placement_weights{}, cj::hall_id("north"),
                             "10.0.0." + std::to_string(100 + at));
    const auto tell = [&](std::uint64_t sequence)
    {
        for (auto& book : books)
        {
            book.set_entry_count(entry_count);
            for (std::size_t at = 0; at < upstream_count; ++at)
            {
                const auto host = "10.1.0." + std::to_string(at + 1);
                auto told = status(sequence);
                told.running = at == 0 ? 0 : 2;
                book.apply_record(
                    record("up" + std::to_string(at), "north", host + ":80"));
                book.apply_status(host, told, now);
            }
        }
    };
    std::uint64_t number = 0;
    std::size_t chosen = 0;
    const auto send = [&](std::size_t entry)
    {
        cj::placement_failure why;
        auto& book = books[entry];
        const auto at =
            placers[entry].choose(book, service, wanted(), now, why);
        if (!at)
            return;
        chosen += at->upstream.value() == "up0" ? 1 : 0;
        book.begin_attempt(at->upstream, ++number, 1000, now);
        book.end_attempt(at->upstream, number, cj::attempt_result::succeeded,
                         now);
    };

    // Each entry sends 30 requests a second, one after another; statuses come
    // each 50 ms until one is late.
    tell(1);
    for (int step = 0; step < 480; ++step)
    {
        now += 2083us;
        if (step % 24 == 0)
            tell(static_cast<std::uint64_t>(step) + 2);
        send(static_cast<std::size_t>(step) % entry_count);
    }
    chosen = 0;
    for (int step = 0; step < 48; ++step)
    {
        now += 2083us;
        send(static_cast<std::size_t>(step) % entry_count);
    }
    THEN("in the 100 ms after its last status it gets a few, not one of each")
    {
        CHECK(chosen >= 1);
        CHECK(chosen <= entry_count / 2);
    }
}

SCENARIO("first events that come late correct the prediction", "[route]")
{
    cj::upstream_registry book;
    const cj::time_point now{100s};
    const cj::placer places({}, cj::hall_id("north"), "10.0.0.9");
    book.apply_record(record("near", "north", "10.0.0.1:80"));
    book.apply_record(record("far", "south", "10.0.0.2:80"));
    book.apply_status("10.0.0.1", status(1), now);
    book.apply_status("10.0.0.2", status(1), now);
    cj::placement_failure why;
    const auto before =
        places.choose(book, llm(), wanted(), now, why)->predicted_ms;

    WHEN("they come three times later than predicted at one upstream")
    {
        for (int at = 0; at < 200; ++at)
            book.record_first_event_time(cj::instance_id("far"), 100, 300);
        THEN("all predictions rise: others send what this entry does not see")
        {
            const auto after =
                places.choose(book, llm(), wanted(), now, why)->predicted_ms;
            CHECK(after == Approx(3 * before).epsilon(0.05));
        }
    }
    WHEN("they come sooner")
    {
        for (int at = 0; at < 200; ++at)
            book.record_first_event_time(cj::instance_id("far"), 100, 60);
        THEN("a prediction is not trusted to be too high")
        {
            CHECK(
                places.choose(book, llm(), wanted(), now, why)->predicted_ms ==
                Approx(before));
        }
    }
}

SCENARIO("an upstream whose side is silent is used last", "[route]")
{
    cj::upstream_registry book;
    cj::time_point now{100s};
    const cj::placer places({}, cj::hall_id("north"), "10.0.0.9");
    const auto service = llm();
    cj::placement_failure why;
    book.apply_record(record("still", "north", "10.0.0.1:80"));
    book.apply_record(record("far", "south", "10.0.0.2:80"));
    book.apply_status("10.0.0.1", status(1), now);
    now += 2s;
    book.apply_status("10.0.0.2", status(1), now);

    THEN("one of another hall is preferred")
    {
        const auto found = places.choose(book, service, wanted(), now, why);
        REQUIRE(found);
        CHECK(found->upstream == cj::instance_id("far"));
    }
    WHEN("an attempt fails there")
    {
        const cj::instance_id still("still");
        book.begin_attempt(still, 1, 1000, now);
        book.end_attempt(still, 1, cj::attempt_result::failed, now);
        THEN("it is left alone for long")
        {
            CHECK(book.find(still)->avoid_until >= now + 5s);
        }
        THEN("but only until its side is heard again")
        {
            now += 1s;
            book.apply_status("10.0.0.1", status(2), now);
            CHECK(book.find(still)->avoid_until <= now + 1s);
        }
    }
}
