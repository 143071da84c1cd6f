#include "coursejunction/transfer/upload_queue.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("uploads for waiting halls precede plain requests", "[transfer]")
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
            queue.add_waiter({q, one, 9});
            CHECK_FALSE(queue.serve_waiters(one, 8));
            CHECK_FALSE(queue.serve_waiters(two, 9));
            CHECK(queue.serve_waiters(one, 9));
            CHECK(queue.take_next() == cj::upload_queue::upload{q, one, 9});
            CHECK(queue.take_next() == cj::upload_queue::upload{p, one, 1});
        }
        THEN("waiters of a dropped version are removed")
        {
            queue.add_waiter({q, one, 9});
            queue.drop_waiters(one);
            CHECK_FALSE(queue.serve_waiters(one, 9));
        }
        THEN("uploads to a lost peer are removed")
        {
            queue.remove_peer(p);
            CHECK(queue.empty());
            CHECK_FALSE(queue.take_next());
        }
    }
}
