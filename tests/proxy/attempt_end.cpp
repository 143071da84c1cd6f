#include "coursejunction/proxy/attempt_end.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using cj::end_verdict;
using cj::stream_end;

SCENARIO("the end of an attempt is judged by its framing and its content",
         "[proxy]")
{
    cj::attempt_end ended;

    SECTION("a response without events")
    {
        SECTION("is complete if its framing is")
        {
            CHECK(cj::judge(ended) == end_verdict::complete);
        }
        SECTION("is unconfirmed if only its connection ended")
        {
            ended.end = stream_end::unframed;
            CHECK(cj::judge(ended) == end_verdict::unconfirmed);
        }
    }
    SECTION("a stream that ends between two events")
    {
        ended.is_stream = true;
        ended.has_event = true;
        SECTION("is complete if its framing is")
        {
            CHECK(cj::judge(ended) == end_verdict::complete);
        }
        SECTION("is unconfirmed if only its connection ended")
        {
            ended.end = stream_end::unframed;
            CHECK(cj::judge(ended) == end_verdict::unconfirmed);
        }
        SECTION("is complete if its upstream is leaving")
        {
            ended.end = stream_end::unframed;
            ended.upstream_leaves = true;
            CHECK(cj::judge(ended) == end_verdict::complete);
        }
    }
    SECTION("a closed connection that was reused does not tell whether the "
            "request was read")
    {
        ended.end = stream_end::stale;
        for (const bool is_stream : {false, true})
        {
            ended.is_stream = is_stream;
            CHECK(cj::judge(ended) == end_verdict::stale);
        }
    }
    SECTION("a stream that ends inside an event was broken off")
    {
        ended.is_stream = true;
        ended.has_event = true;
        ended.inside_event = true;
        for (const auto end : {stream_end::whole, stream_end::unframed})
        {
            for (const bool leaves : {false, true})
            {
                ended.end = end;
                ended.upstream_leaves = leaves;
                CHECK(cj::judge(ended) == end_verdict::broken_off);
            }
        }
    }
    SECTION("a stream without an event")
    {
        ended.is_stream = true;
        SECTION("is complete if its framing is")
        {
            CHECK(cj::judge(ended) == end_verdict::complete);
        }
        SECTION("was broken off if only its connection ended")
        {
            ended.end = stream_end::unframed;
            CHECK(cj::judge(ended) == end_verdict::broken_off);
        }
    }
    SECTION("a response whose body is not used is complete without framing")
    {
        ended.end = stream_end::unframed;
        ended.settled_by_head = true;
        CHECK(cj::judge(ended) == end_verdict::complete);
    }
    SECTION("an attempt without a complete response, whatever it contained")
    {
        for (const bool inside : {false, true})
        {
            ended.is_stream = inside;
            ended.inside_event = inside;
            ended.end = stream_end::not_sent;
            CHECK(cj::judge(ended) == end_verdict::not_sent);
            ended.end = stream_end::closed;
            CHECK(cj::judge(ended) == end_verdict::broken_off);
            ended.end = stream_end::broken;
            CHECK(cj::judge(ended) == end_verdict::failed);
            ended.end = stream_end::malformed;
            CHECK(cj::judge(ended) == end_verdict::failed);
        }
    }
}

SCENARIO("an unconfirmed end is settled by a probe of the upstream", "[proxy]")
{
    CHECK(cj::confirm(true) == end_verdict::broken_off);
    CHECK(cj::confirm(false) == end_verdict::complete);
}
