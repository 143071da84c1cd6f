#include "coursejunction/rollout/assignment.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

namespace
{

std::vector<cj::upstream_candidate> candidates(std::size_t count)
{
    std::vector<cj::upstream_candidate> list;
    for (std::size_t number = 0; number < count; ++number)
    {
        cj::upstream_candidate candidate;
        candidate.instance = cj::instance_id("i" + std::to_string(number));
        candidate.hall = cj::hall_id(number % 2 == 0 ? "north" : "south");
        if (number % 4 == 0)
            candidate.labels = {"gpu=large"};
        list.push_back(candidate);
    }
    return list;
}

cj::configuration config_placing(std::size_t north, std::size_t south,
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

SCENARIO("a deployment is assigned only to upstreams with its labels",
         "[rollout]")
{
    GIVEN("a placement with a selector")
    {
        const auto placed = cj::assign_deployments(
            config_placing(5, 0, {"gpu=large"}), candidates(8));
        CHECK(placed.size() == 2);
        CHECK(placed.contains(cj::instance_id("i0")));
        CHECK(placed.contains(cj::instance_id("i4")));
    }
}

TEST_CASE("losing an instance moves only its own deployment", "[rollout]")
{
    rc::prop("whichever instance is lost",
             []
             {
                 auto all = candidates(20);
                 const auto config = config_placing(4, 4);
                 const auto before = cj::assign_deployments(config, all);
                 RC_ASSERT(before.size() == 8U);
                 const auto lost = *rc::gen::elementOf(all);
                 std::erase_if(all, [&](const auto& candidate)
                               { return candidate.instance == lost.instance; });
                 const auto after = cj::assign_deployments(config, all);
                 for (const auto& [id, name] : before)
                     RC_ASSERT(id == lost.instance || after.contains(id));
                 RC_ASSERT(after.size() == 8U);
             });
}
