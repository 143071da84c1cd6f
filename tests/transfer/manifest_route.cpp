#include "coursejunction/transfer/manifest_route.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace coursejunction;

TEST_CASE("a manifest comes down a tree in each hall")
{
    std::vector<participant> all;
    for (int at = 0; at < 60; ++at)
        all.push_back({instance_id("side-" + std::to_string(at)),
                       hall_id(at < 25 ? "north" : "south"), region_id("r")});

    SECTION("one of each hall asks the origin, the others a side of their hall")
    {
        std::map<std::string, int> roots;
        std::map<instance_id, std::size_t> asked;
        for (const auto& one : all)
        {
            const auto sources = manifest_sources("tutor 2", all, one.id);
            if (sources.empty())
            {
                ++roots[one.hall.value()];
                continue;
            }
            ++asked[sources.front()];
            REQUIRE(sources.size() <= 3);
            for (const auto& source : sources)
            {
                REQUIRE(source != one.id);
                const auto found = std::find_if(all.begin(), all.end(),
                                                [&](const participant& other)
                                                { return other.id == source; });
                REQUIRE(found->hall == one.hall);
            }
        }
        REQUIRE(roots ==
                std::map<std::string, int>{{"north", 1}, {"south", 1}});
        for (const auto& [id, count] : asked)
            REQUIRE(count <= manifest_arity);
    }
    SECTION("a side that the list does not name yet asks the origin")
    {
        REQUIRE(manifest_sources("tutor 2", all, instance_id("new")).empty());
    }
}
