#include "coursejunction/transfer/upload_queue.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("an uplink sends what matters first", "[transfer]")
{
    const cj::instance_id p("p");
    const cj::instance_id q("q");
    const auto one = cj::digest::of("one");
    const auto two = cj::digest::of("two");
    cj::upload_queue queue(2);
    REQUIRE(queue.offer({p, one, 1}));
    REQUIRE(queue.offer({p, one, 2}));
    GIVEN("a full queue")
    {
        CHECK_FALSE(queue.offer({q, one, 3}));
        THEN("a chunk that another hall waits for goes first")
        {
            queue.wait({q, one, 9});
            CHECK_FALSE(queue.release(one, 8));
            CHECK_FALSE(queue.release(two, 9));
            CHECK(queue.release(one, 9));
            CHECK(queue.next() == cj::upload_queue::upload{q, one, 9});
            CHECK(queue.next() == cj::upload_queue::upload{p, one, 1});
        }
        THEN("nobody waits for a version that is given up")
        {
            queue.wait({q, one, 9});
            queue.give_up(one);
            CHECK_FALSE(queue.release(one, 9));
        }
        THEN("a peer that is gone is forgotten")
        {
            queue.drop(p);
            CHECK(queue.empty());
            CHECK_FALSE(queue.next());
        }
    }
}
