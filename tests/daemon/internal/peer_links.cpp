#include "coursejunction/daemon/internal/peer_links.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

SCENARIO("connections to an instance and from it are kept apart", "[daemon]")
{
    ci::peer_links links;
    const cj::instance_id peer("p");
    const cj::connection_id out(1);
    const cj::connection_id in(2);
    links.add_outgoing(peer, out, "10.0.0.1:1");
    links.add_incoming(peer, in);

    THEN("each is known")
    {
        CHECK(links.outgoing(peer) == out);
        CHECK(links.incoming(peer) == in);
        CHECK(links.peer_of(out) == peer);
        CHECK(links.peer_of(in) == peer);
        CHECK_FALSE(links.peer_of(cj::connection_id(3)));
        CHECK(links.outgoing(cj::instance_id("q")).empty());
    }
    WHEN("one is dropped")
    {
        links.remove(out);
        CHECK(links.outgoing(peer).empty());
        CHECK(links.incoming(peer) == in);
        links.remove(out);
        links.remove(in);
        CHECK(links.incoming(peer).empty());
    }
    WHEN("a later one has taken the place of an earlier")
    {
        const cj::connection_id later(4);
        links.add_incoming(peer, later);
        links.remove(in);
        THEN("the later one stays")
        {
            CHECK(links.incoming(peer) == later);
        }
    }
    WHEN("the instance is listed at another address")
    {
        cj::member listed;
        listed.id = peer;
        listed.peer_address = "10.0.0.1:1";
        cj::member_table members;
        CHECK(links.relocated(members).empty());
        members.assign({listed});
        CHECK(links.relocated(members).empty());
        listed.peer_address = "10.0.0.2:1";
        members.assign({listed});
        CHECK(links.relocated(members) == std::vector<cj::instance_id>{peer});
    }
}
