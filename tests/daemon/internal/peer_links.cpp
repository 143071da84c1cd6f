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
    links.dial(peer, out, "10.0.0.1:1");
    links.accept(peer, in);

    THEN("each is known")
    {
        CHECK(links.dialled(peer) == out);
        CHECK(links.accepted(peer) == in);
        CHECK(links.instance(out) == peer);
        CHECK(links.instance(in) == peer);
        CHECK_FALSE(links.instance(cj::connection_id(3)));
        CHECK(links.dialled(cj::instance_id("q")).empty());
    }
    WHEN("one is dropped")
    {
        links.drop(out);
        CHECK(links.dialled(peer).empty());
        CHECK(links.accepted(peer) == in);
        links.drop(out);
        links.drop(in);
        CHECK(links.accepted(peer).empty());
    }
    WHEN("a later one has taken the place of an earlier")
    {
        const cj::connection_id later(4);
        links.accept(peer, later);
        links.drop(in);
        THEN("the later one stays")
        {
            CHECK(links.accepted(peer) == later);
        }
    }
    WHEN("the instance is listed at another address")
    {
        cj::member listed;
        listed.id = peer;
        listed.peer_address = "10.0.0.1:1";
        cj::member_table members;
        CHECK(links.moved(members).empty());
        members.assign({listed});
        CHECK(links.moved(members).empty());
        listed.peer_address = "10.0.0.2:1";
        members.assign({listed});
        CHECK(links.moved(members) == std::vector<cj::instance_id>{peer});
    }
}
