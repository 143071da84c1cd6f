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

cj::received_notice limited(double per_second, cj::time_point sent)
{
    cj::received_notice made;
    made.notice.requests_per_second = per_second;
    made.sent_at = sent;
    made.succeeded = true;
    return made;
}

cj::received_notice silent(cj::time_point sent, bool succeeded = true)
{
    return {{}, sent, succeeded};
}

} // namespace

SCENARIO("a limit holds for as long as answers name it", "[route]")
{
    cj::upstream_terms terms;
    CHECK(terms.next_send_at() <= moment(0));

    GIVEN("an answer that names one")
    {
        CHECK(terms.apply_notice(limited(1, moment(0)), moment(1)));
        REQUIRE(terms.limit());
        CHECK(terms.told_by() == "answer");
        CHECK(terms.next_send_at() > moment(1e6));

        SECTION("an answer that was on its way does not end it")
        {
            CHECK_FALSE(terms.apply_notice(silent(moment(0.9)), moment(1.1)));
            CHECK(terms.limit());
        }
        SECTION("nor does a failure, or something that can't be read")
        {
            CHECK_FALSE(
                terms.apply_notice(silent(moment(2), false), moment(2.1)));
            auto garbled = silent(moment(2));
            garbled.notice.unreadable = true;
            CHECK_FALSE(terms.apply_notice(garbled, moment(2.1)));
            CHECK(terms.limit());
        }
        SECTION("a later answer without it does, and that is news")
        {
            CHECK(terms.apply_notice(silent(moment(2)), moment(2.1)));
            CHECK_FALSE(terms.limit());
            REQUIRE(terms.pending_report(moment(2.5)));
            CHECK_FALSE(terms.pending_report(moment(2.5))->per_second);
            CHECK_FALSE(terms.pending_report(moment(3.2)));
        }
        SECTION("it is told for a while, and again by whoever holds a share")
        {
            CHECK(terms.pending_report(moment(1.9))->per_second == 1.0);
            CHECK_FALSE(terms.pending_report(moment(2.1)));
            CHECK_FALSE(terms.apply_notice(limited(1, moment(3)), moment(3.1)));
            CHECK_FALSE(terms.pending_report(moment(3.2)));
            terms.set_share({1, 0}, moment(3.2));
            CHECK_FALSE(terms.apply_notice(limited(1, moment(4)), moment(4.1)));
            CHECK(terms.pending_report(moment(4.2)));
        }
        SECTION("another one that it names replaces it")
        {
            CHECK(terms.apply_notice(limited(3, moment(2)), moment(2.1)));
            CHECK(terms.limit()->per_second() == 3);
        }
    }
    GIVEN("another entry that was told one")
    {
        CHECK(terms.apply_report({false, 2.0, moment(5)}, "10.0.0.9",
                                 moment(5.2)));
        CHECK(terms.told_by() == "10.0.0.9");
        CHECK(terms.limit()->per_second() == 2);
        CHECK_FALSE(terms.pending_report(moment(5.3)));

        SECTION("older news that come later change nothing")
        {
            CHECK_FALSE(terms.apply_report({false, std::nullopt, moment(4.9)},
                                           "x", moment(5.3)));
            CHECK(terms.limit());
        }
        SECTION("newer news end it")
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
    auto leaves = silent(moment(0));
    leaves.notice.leaving = true;

    GIVEN("its answer")
    {
        CHECK(terms.apply_notice(leaves, moment(1)));
        CHECK(terms.leaving());
        CHECK_FALSE(terms.apply_notice(leaves, moment(1.1)));
        CHECK_FALSE(terms.apply_notice(silent(moment(2)), moment(2.1)));
        CHECK(terms.leaving());
        CHECK(terms.pending_report(moment(1.5))->leaving);
    }
    GIVEN("another entry that was told")
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

SCENARIO("an upstream rests for as long as it asked", "[route]")
{
    cj::upstream_terms terms;
    auto rests = silent(moment(0), false);
    rests.notice.retry_after = 3000ms;
    CHECK(terms.apply_notice(rests, moment(1)));
    CHECK(terms.next_send_at() == moment(4));

    SECTION("no answer ends that, and nobody else is told")
    {
        CHECK_FALSE(terms.apply_notice(silent(moment(2)), moment(2.1)));
        CHECK(terms.next_send_at() == moment(4));
        CHECK_FALSE(terms.pending_report(moment(2)));
    }
    SECTION("a shorter one does not shorten it, a longer one lengthens it")
    {
        rests.notice.retry_after = 500ms;
        CHECK_FALSE(terms.apply_notice(rests, moment(2)));
        CHECK(terms.next_send_at() == moment(4));
        rests.notice.retry_after = 5000ms;
        CHECK_FALSE(terms.apply_notice(rests, moment(2)));
        CHECK(terms.next_send_at() == moment(7));
    }
    SECTION("beside a limit the later moment holds")
    {
        terms.apply_notice(limited(1, moment(1)), moment(2));
        terms.set_share({1, 0}, moment(2));
        CHECK(terms.next_send_at() == moment(4));
    }
}

SCENARIO("a record that comes back brings no freedom from a limit or a rest",
         "[route]")
{
    cj::upstream_registry book;
    cj::upstream_record record;
    record.id = cj::instance_id("u");
    record.life = cj::incarnation(7);
    book.apply_record(record);
    auto told = limited(1, moment(0));
    told.notice.retry_after = 5000ms;
    told.notice.leaving = GENERATE(false, true);
    book.apply_notice(record.id, told, moment(0.1));
    const auto opens = [&]
    { return book.find(record.id)->terms.next_send_at(); };

    SECTION("it went in an outage of the store, for longer than is waited")
    {
        book.remove(record.id, true, moment(1));
        book.expire(moment(4));
        REQUIRE(book.find(record.id) == nullptr);
        book.apply_record(record);
        CHECK(opens() > moment(5));
        CHECK(book.find(record.id)->leaving() == told.notice.leaving);
    }
    SECTION("it went otherwise")
    {
        book.remove(record.id, false, moment(1));
        book.apply_record(record);
        CHECK(book.find(record.id)->terms.limit());
    }
    SECTION("a later life has none")
    {
        book.remove(record.id, false, moment(1));
        record.life = cj::incarnation(8);
        book.apply_record(record);
        CHECK(opens() <= moment(0));
        CHECK_FALSE(book.find(record.id)->leaving());
    }
    SECTION("after a minute they are forgotten")
    {
        book.remove(record.id, false, moment(1));
        book.expire(moment(62));
        book.apply_record(record);
        CHECK(opens() <= moment(0));
    }
}

SCENARIO("terms of upstreams are told in a heartbeat", "[route][wire]")
{
    cj::upstream_registry book;
    constexpr int upstreams = 30;
    for (int at = 0; at < upstreams; ++at)
    {
        cj::upstream_record one;
        one.id = cj::instance_id("u" + std::to_string(at));
        one.life = cj::incarnation(7);
        book.apply_record(one);
        const auto then = moment(0.01 * at);
        book.apply_notice(one.id, limited(1.5, then), then);
    }
    const auto now = moment(0.5);
    const auto told = cj::recent_terms(book, now);

    SECTION("the newest ones, as many as fit a packet")
    {
        REQUIRE(told.size() == cj::max_terms_per_heartbeat);
        CHECK(told.front().upstream == "u29");
        CHECK(told.front().life == 7);
    }
    SECTION("with the age of the answer, since clocks differ")
    {
        CHECK(cj::decode_terms(told.front(), now).received_at == moment(0.29));
        CHECK(cj::decode_terms(told.front(), now).per_second == 1.5);
        auto free = told.front();
        free.per_second = -1;
        CHECK_FALSE(cj::decode_terms(free, now).per_second);
    }
    SECTION("what is told of an earlier life changes nothing")
    {
        const cj::instance_id one("u1");
        const cj::reported_terms news{false, std::nullopt, moment(0.4)};
        CHECK_FALSE(
            book.apply_reported_terms(one, cj::incarnation(6), news, "x", now));
        CHECK(
            book.apply_reported_terms(one, cj::incarnation(7), news, "x", now));
    }
    SECTION("a life that begins has no terms")
    {
        cj::upstream_record next;
        next.id = cj::instance_id("u1");
        next.life = cj::incarnation(8);
        book.apply_record(next);
        CHECK_FALSE(book.find(next.id)->terms.limit());
    }
    SECTION("they pass the wire, also at the end of a message")
    {
        cj::message::fleet_heartbeat beat;
        beat.entry = true;
        beat.terms = told;
        beat.terms.push_back({"", 1, 2, true, 3});
        const auto read =
            cj::decode<cj::message::fleet_heartbeat>(cj::encode(beat));
        REQUIRE(read);
        REQUIRE(read.value().terms.size() == told.size() + 1);
        CHECK(read.value().terms.front().upstream == "u29");
        CHECK(read.value().terms.back().per_second == 3);
    }
}
