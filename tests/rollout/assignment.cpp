#include "coursejunction/rollout/assignment.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

namespace
{

std::vector<cj::upstream_candidate> slots(std::size_t count)
{
    std::vector<cj::upstream_candidate> made;
    for (std::size_t at = 0; at < count; ++at)
    {
        cj::upstream_candidate one;
        one.instance = cj::instance_id("i" + std::to_string(at));
        one.hall = cj::hall_id(at % 2 == 0 ? "north" : "south");
        if (at % 4 == 0)
            one.labels = {"gpu=large"};
        made.push_back(one);
    }
    return made;
}

cj::configuration wanting(std::size_t north, std::size_t south,
                          std::vector<std::string> selector = {})
{
    cj::configuration_change change;
    change.name = cj::deployment_name("tutor");
    change.spec.name = change.name;
    change.spec.placements = {{cj::hall_id("north"), north, selector},
                              {cj::hall_id("south"), south, {}}};
    return cj::configuration().apply(change, {}).value();
}

} // namespace

SCENARIO("deployments are placed the same by everybody", "[rollout]")
{
    GIVEN("a selector")
    {
        const auto placed =
            cj::assign_deployments(wanting(5, 0, {"gpu=large"}), slots(8));
        CHECK(placed.size() == 2);
        CHECK(placed.contains(cj::instance_id("i0")));
        CHECK(placed.contains(cj::instance_id("i4")));
    }
}

TEST_CASE("an instance that dies moves only its own deployment", "[rollout]")
{
    rc::prop("whichever dies",
             []
             {
                 auto all = slots(20);
                 const auto wanted = wanting(4, 4);
                 const auto before = cj::assign_deployments(wanted, all);
                 RC_ASSERT(before.size() == 8U);
                 const auto gone = *rc::gen::elementOf(all);
                 std::erase_if(all, [&](const auto& one)
                               { return one.instance == gone.instance; });
                 const auto after = cj::assign_deployments(wanted, all);
                 for (const auto& [id, name] : before)
                     RC_ASSERT(id == gone.instance || after.contains(id));
                 RC_ASSERT(after.size() == 8U);
             });
}
