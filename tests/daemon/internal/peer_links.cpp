#include "coursejunction/daemon/internal/peer_links.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

SCENARIO("outgoing and incoming connections of an instance are kept apart",
         "[daemon]")
{
    ci::peer_links links;
    const cj::instance_id peer("p");
    const cj::connection_id out(1);
    const cj::connection_id in(2);
    links.add_outgoing(peer, out, "10.0.0.1:1");
    links.add_incoming(peer, in);

    THEN("each connection is found")
    {
        CHECK(links.outgoing(peer) == out);
        CHECK(links.incoming(peer) == in);
        CHECK(links.peer_of(out) == peer);
        CHECK(links.peer_of(in) == peer);
        CHECK_FALSE(links.peer_of(cj::connection_id(3)));
        CHECK(links.outgoing(cj::instance_id("q")).empty());
    }
    WHEN("one is removed")
    {
        links.remove(out);
        CHECK(links.outgoing(peer).empty());
        CHECK(links.incoming(peer) == in);
        links.remove(out);
        links.remove(in);
        CHECK(links.incoming(peer).empty());
    }
    WHEN("an incoming connection has been replaced by a later one")
    {
        const cj::connection_id later(4);
        links.add_incoming(peer, later);
        links.remove(in);
        THEN("removing the earlier one keeps the later one")
        {
            CHECK(links.incoming(peer) == later);
        }
    }
    WHEN("the instance's listed address changes")
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
