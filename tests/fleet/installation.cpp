#include "coursejunction/fleet/installation.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("the route with the longest matching prefix is selected", "[fleet]")
{
    cj::installation rules;
    const auto add = [&](const char* host, const char* prefix)
    {
        cj::route_rule one;
        one.name = prefix;
        one.host = host;
        one.prefix = prefix;
        rules.routes.push_back(one);
    };
    add("a", "/x/");
    add("a", "/x/y/");
    add("b", "/");

    CHECK(rules.route("a", "/x/y/z")->name == "/x/y/");
    CHECK(rules.route("a", "/x/z")->name == "/x/");
    CHECK(rules.route("a", "/xy/") == nullptr);
    CHECK(rules.route("b", "/anything")->name == "/");
    CHECK(rules.route("c", "/x/") == nullptr);
}

SCENARIO("requests are split between services by weight", "[fleet]")
{
    cj::route_rule route;
    CHECK(cj::service_for(route, 1) == nullptr);
    route.services = {{cj::service_name("one"), 90},
                      {cj::service_name("two"), 10}};
    std::size_t first = 0;
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        first += cj::service_for(route, hash)->value() == "one" ? 1 : 0;
    CHECK(first == 900);
}
