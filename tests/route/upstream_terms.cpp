#include "coursejunction/route/upstream_terms.hpp"

#include <catch2/catch.hpp>

#include "coursejunction/proxy/terms_messages.hpp"
#include "coursejunction/wire/codec.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::time_point moment(double seconds)
{
    return cj::time_point{1h} + cj::from_seconds(seconds);
}

cj::received_notice with_limit(double per_second, cj::time_point sent)
{
    cj::received_notice result;
    result.notice.requests_per_second = per_second;
    result.request_sent_at = sent;
    result.succeeded = true;
    return result;
}

cj::received_notice without_limit(cj::time_point sent, bool succeeded = true)
{
    return {{}, sent, succeeded};
}

} // namespace

SCENARIO("a rate limit applies as long as responses announce it", "[route]")
{
    cj::upstream_terms terms;
    CHECK(terms.next_send_at() <= moment(0));

    GIVEN("a response that announces a limit")
    {
        CHECK(terms.apply_notice(with_limit(1, moment(0)), moment(1)));
        REQUIRE(terms.limit());
        CHECK(terms.told_by() == "answer");
        CHECK(terms.next_send_at() > moment(1e6));

        SECTION("a response without it to an earlier request does not end it")
        {
            CHECK_FALSE(
                terms.apply_notice(without_limit(moment(0.9)), moment(1.1)));
            CHECK(terms.limit());
        }
        SECTION("a failure or an unreadable announcement does not end it")
        {
            CHECK_FALSE(terms.apply_notice(without_limit(moment(2), false),
                                           moment(2.1)));
            auto garbled = without_limit(moment(2));
            garbled.notice.unreadable = true;
            CHECK_FALSE(terms.apply_notice(garbled, moment(2.1)));
            CHECK(terms.limit());
        }
        SECTION("a later response without it ends it, and that is reported")
        {
            CHECK(terms.apply_notice(without_limit(moment(2)), moment(2.1)));
            CHECK_FALSE(terms.limit());
            REQUIRE(terms.pending_report(moment(2.5)));
            CHECK_FALSE(terms.pending_report(moment(2.5))->per_second);
            CHECK_FALSE(terms.pending_report(moment(3.2)));
        }
        SECTION("it is reported for a while, and again by holders of a share")
        {
            CHECK(terms.pending_report(moment(1.9))->per_second == 1.0);
            CHECK_FALSE(terms.pending_report(moment(2.1)));
            CHECK_FALSE(
                terms.apply_notice(with_limit(1, moment(3)), moment(3.1)));
            CHECK_FALSE(terms.pending_report(moment(3.2)));
            terms.set_share({1, 0}, moment(3.2));
            CHECK_FALSE(
                terms.apply_notice(with_limit(1, moment(4)), moment(4.1)));
            CHECK(terms.pending_report(moment(4.2)));
        }
        SECTION("another announced limit replaces it")
        {
            CHECK(terms.apply_notice(with_limit(3, moment(2)), moment(2.1)));
            CHECK(terms.limit()->per_second() == 3);
        }
    }
    GIVEN("a limit reported by another entry")
    {
        CHECK(terms.apply_report({false, 2.0, moment(5)}, "10.0.0.9",
                                 moment(5.2)));
        CHECK(terms.told_by() == "10.0.0.9");
        CHECK(terms.limit()->per_second() == 2);
        CHECK_FALSE(terms.pending_report(moment(5.3)));

        SECTION("an older report that arrives later changes nothing")
        {
            CHECK_FALSE(terms.apply_report({false, std::nullopt, moment(4.9)},
                                           "x", moment(5.3)));
            CHECK(terms.limit());
        }
        SECTION("a newer report ends it")
        {
            CHECK(terms.apply_report({false, std::nullopt, moment(6)}, "x",
                                     moment(6.1)));
            CHECK_FALSE(terms.limit());
        }
    }
}

SCENARIO("an upstream that leaves does not come back", "[route]")
{
    cj::upstream_terms terms;
    auto leaving = without_limit(moment(0));
    leaving.notice.leaving = true;

    GIVEN("its own response announces that it leaves")
    {
        CHECK(terms.apply_notice(leaving, moment(1)));
        CHECK(terms.leaving());
        CHECK_FALSE(terms.apply_notice(leaving, moment(1.1)));
        CHECK_FALSE(terms.apply_notice(without_limit(moment(2)), moment(2.1)));
        CHECK(terms.leaving());
        CHECK(terms.pending_report(moment(1.5))->leaving);
    }
    GIVEN("another entry reports that it leaves")
    {
        CHECK(terms.apply_report({true, std::nullopt, moment(1)}, "x",
                                 moment(1.1)));
        CHECK_FALSE(terms.apply_report({false, std::nullopt, moment(2)}, "y",
                                       moment(2.1)));
        CHECK(terms.leaving());
        CHECK(terms.told_by() == "x");
        CHECK_FALSE(terms.pending_report(moment(1.2)));
    }
}

SCENARIO("an upstream gets no requests during the back-off that it asked for",
         "[route]")
{
    cj::upstream_terms terms;
    auto backs_off = without_limit(moment(0), false);
    backs_off.notice.retry_after = 3000ms;
    CHECK(terms.apply_notice(backs_off, moment(1)));
    CHECK(terms.next_send_at() == moment(4));

    SECTION("no response ends it, and it is not reported to others")
    {
        CHECK_FALSE(terms.apply_notice(without_limit(moment(2)), moment(2.1)));
        CHECK(terms.next_send_at() == moment(4));
        CHECK_FALSE(terms.pending_report(moment(2)));
    }
    SECTION("a shorter one does not shorten it, a longer one extends it")
    {
        backs_off.notice.retry_after = 500ms;
        CHECK_FALSE(terms.apply_notice(backs_off, moment(2)));
        CHECK(terms.next_send_at() == moment(4));
        backs_off.notice.retry_after = 5000ms;
        CHECK_FALSE(terms.apply_notice(backs_off, moment(2)));
        CHECK(terms.next_send_at() == moment(7));
    }
    SECTION("with a rate limit, the later of both times applies")
    {
        terms.apply_notice(with_limit(1, moment(1)), moment(2));
        terms.set_share({1, 0}, moment(2));
        CHECK(terms.next_send_at() == moment(4));
    }
}

SCENARIO("a record that returns does not lift a rate limit or a back-off",
         "[route]")
{
    cj::upstream_registry registry;
    cj::upstream_record record;
    record.id = cj::instance_id("u");
    record.life = cj::incarnation(7);
    registry.apply_record(record);
    auto reported = with_limit(1, moment(0));
    reported.notice.retry_after = 5000ms;
    reported.notice.leaving = GENERATE(false, true);
    registry.apply_notice(record.id, reported, moment(0.1));
    const auto opens = [&]
    { return registry.find(record.id)->terms.next_send_at(); };

    SECTION("it disappeared in a store outage for longer than the grace time")
    {
        registry.remove(record.id, moment(3), moment(1));
        registry.expire(moment(4));
        REQUIRE(registry.find(record.id) == nullptr);
        registry.apply_record(record);
        CHECK(opens() > moment(5));
        CHECK(registry.find(record.id)->leaving() == reported.notice.leaving);
    }
    SECTION("it disappeared while the store was available")
    {
        registry.remove(record.id, std::nullopt, moment(1));
        registry.apply_record(record);
        CHECK(registry.find(record.id)->terms.limit());
    }
    SECTION("a later incarnation has no terms")
    {
        registry.remove(record.id, std::nullopt, moment(1));
        record.life = cj::incarnation(8);
        registry.apply_record(record);
        CHECK(opens() <= moment(0));
        CHECK_FALSE(registry.find(record.id)->leaving());
    }
    SECTION("terms are dropped after a minute")
    {
        registry.remove(record.id, std::nullopt, moment(1));
        registry.expire(moment(62));
        registry.apply_record(record);
        CHECK(opens() <= moment(0));
    }
}

SCENARIO("terms of upstreams are reported in heartbeats", "[route][wire]")
{
    cj::upstream_registry registry;
    constexpr int upstreams = 30;
    for (int at = 0; at < upstreams; ++at)
    {
        cj::upstream_record one;
        one.id = cj::instance_id("u" + std::to_string(at));
        one.life = cj::incarnation(7);
        registry.apply_record(one);
        const auto then = moment(0.01 * at);
        registry.apply_notice(one.id, with_limit(1.5, then), then);
    }
    const auto now = moment(0.5);
    const auto reported = cj::recent_terms(registry, now);

    SECTION("only the newest ones that fit a datagram")
    {
        REQUIRE(reported.size() == cj::max_terms_per_heartbeat);
        CHECK(reported.front().upstream == "u29");
        CHECK(reported.front().life == 7);
    }
    SECTION("with the age of the response, since clocks differ")
    {
        CHECK(cj::decode_terms(reported.front(), now).received_at ==
              moment(0.29));
        CHECK(cj::decode_terms(reported.front(), now).per_second == 1.5);
        auto free = reported.front();
        free.per_second = -1;
        CHECK_FALSE(cj::decode_terms(free, now).per_second);
    }
    SECTION("a report of an earlier incarnation changes nothing")
    {
        const cj::instance_id one("u1");
        const cj::reported_terms news{false, std::nullopt, moment(0.4)};
        CHECK_FALSE(registry.apply_reported_terms(one, cj::incarnation(6), news,
                                                  "x", now));
        CHECK(registry.apply_reported_terms(one, cj::incarnation(7), news, "x",
                                            now));
    }
    SECTION("a new incarnation has no terms")
    {
        cj::upstream_record next;
        next.id = cj::instance_id("u1");
        next.life = cj::incarnation(8);
        registry.apply_record(next);
        CHECK_FALSE(registry.find(next.id)->terms.limit());
    }
    SECTION("they are encoded and decoded, also at the end of a message")
    {
        cj::message::fleet_heartbeat beat;
        beat.entry = true;
        beat.terms = reported;
        beat.terms.push_back({"", 1, 2, true, 3});
        const auto read =
            cj::decode<cj::message::fleet_heartbeat>(cj::encode(beat));
        REQUIRE(read);
        REQUIRE(read.value().terms.size() == reported.size() + 1);
        CHECK(read.value().terms.front().upstream == "u29");
        CHECK(read.value().terms.back().per_second == 3);
    }
}
