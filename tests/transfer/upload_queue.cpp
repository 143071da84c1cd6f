#include "coursejunction/transfer/upload_queue.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("an uplink sends what matters first", "[transfer]")
{
    const cj::instance_id p("p");
    const cj::instance_id q("q");
    cj::upload_queue queue(2);
    REQUIRE(queue.offer({p, 1}));
    REQUIRE(queue.offer({p, 2}));
    GIVEN("a full queue")
    {
        CHECK_FALSE(queue.offer({q, 3}));
        THEN("a chunk that another hall waits for goes first")
        {
            queue.wait({q, 9});
            CHECK_FALSE(queue.release(8));
            CHECK(queue.release(9));
            CHECK(queue.next() == cj::upload_queue::upload{q, 9});
            CHECK(queue.next() == cj::upload_queue::upload{p, 1});
        }
        THEN("a peer that is gone is forgotten")
        {
            queue.drop(p);
            CHECK(queue.empty());
            CHECK_FALSE(queue.next());
        }
    }
}
