#include "coursejunction/route/region_restriction.hpp"

#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace cj = coursejunction;

namespace
{

std::vector<cj::region_id> regions(const std::vector<std::string>& names)
{
    std::vector<cj::region_id> result;
    for (const auto& name : names)
        result.emplace_back(name);
    return result;
}

} // namespace

// Guards against requests that leave the regions of their route or
// organisation.
SCENARIO("a request is served only in the regions that its route and its "
         "organisation allow",
         "[route]")
{
    const cj::hall_id north("north");
    const cj::hall_id south("south");
    const cj::hall_id unlisted("unlisted");
    const std::map<cj::hall_id, cj::region_id> halls{
        {north, cj::region_id("east")}, {south, cj::region_id("west")}};

    GIVEN("neither names regions")
    {
        const auto none = cj::region_restriction::of({}, {});
        THEN("every hall may serve it, also one without a known region")
        {
            CHECK_FALSE(none.is_active());
            CHECK(none.allows(north, halls));
            CHECK(none.allows(unlisted, halls));
            CHECK(none.allows(north, {}));
            CHECK(none.text() == "any");
        }
        THEN("a default restriction is the same")
        {
            const cj::region_restriction initial;
            CHECK_FALSE(initial.is_active());
            CHECK(initial.allows(unlisted, halls));
        }
    }
    GIVEN("one of them names a region")
    {
        const auto of_route = cj::region_restriction::of(regions({"east"}), {});
        const auto of_organisation =
            cj::region_restriction::of({}, regions({"east"}));
        for (const auto& restriction : {of_route, of_organisation})
        {
            CHECK(restriction.is_active());
            CHECK(restriction.allows(north, halls));
            CHECK_FALSE(restriction.allows(south, halls));
            CHECK(restriction.text() == "east");
        }
        THEN("a hall without a known region may not serve it")
        {
            CHECK_FALSE(of_route.allows(unlisted, halls));
            CHECK_FALSE(of_route.allows(north, {}));
        }
    }
    GIVEN("both name regions")
    {
        THEN("only regions that both name are allowed")
        {
            const auto common = cj::region_restriction::of(
                regions({"east", "west"}), regions({"west", "far"}));
            CHECK_FALSE(common.allows(north, halls));
            CHECK(common.allows(south, halls));
            CHECK(common.text() == "west");
        }
        THEN("no hall may serve it if they have no region in common")
        {
            const auto disjoint = cj::region_restriction::of(regions({"east"}),
                                                             regions({"west"}));
            CHECK(disjoint.is_active());
            CHECK_FALSE(disjoint.allows(north, halls));
            CHECK_FALSE(disjoint.allows(south, halls));
            CHECK(disjoint.text() == "none");
        }
        THEN("an empty name is not that of a hall without a region")
        {
            const auto unnamed = cj::region_restriction::of(regions({""}), {});
            CHECK_FALSE(unnamed.allows(unlisted, halls));
        }
    }
}
