#include "coursejunction/resource/configuration.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using action = cj::configuration_change::action;

namespace
{

cj::configuration_change change(action kind, const std::string& name,
                                std::uint64_t read, char version = 'a')
{
    cj::configuration_change made;
    made.kind = kind;
    made.name = cj::deployment_name(name);
    made.read = cj::revision(read);
    made.spec.name = made.name;
    made.spec.model = "m";
    made.spec.version = cj::digest::of(std::string(1, version));
    made.spec.placements.push_back({cj::hall_id("north"), 1, {}});
    return made;
}

} // namespace

SCENARIO("a configuration changes one revision at a time", "[resource]")
{
    const cj::configuration empty;
    const auto first =
        empty.apply(change(action::create, "tutor", 0), cj::write_id("w1"))
            .value();
    GIVEN("a deployment")
    {
        CHECK(first.number() == cj::revision(1));
        CHECK(first.written(cj::write_id("w1")) == cj::revision(1));
        CHECK_FALSE(first.written(cj::write_id("w2")));

        WHEN("two operators replace what both have read")
        {
            const auto second = first.apply(
                change(action::replace, "tutor", 1, 'b'), cj::write_id("w2"));
            REQUIRE(second);
            const auto loser = second.value().apply(
                change(action::replace, "tutor", 1, 'c'), cj::write_id("w3"));
            THEN("the loser gets a conflict with the current revision")
            {
                REQUIRE_FALSE(loser);
                CHECK(loser.error().kind == cj::error_kind::conflict);
                CHECK(loser.error().message ==
                      "deployment tutor is at revision 2");
            }
            THEN("the version before is kept for an abort")
            {
                CHECK(second.value()
                          .find(cj::deployment_name("tutor"))
                          ->previous == cj::digest::of("a"));
            }
        }
        WHEN("it is created again, or another is replaced")
        {
            CHECK(first.apply(change(action::create, "tutor", 0), {})
                      .error()
                      .kind == cj::error_kind::conflict);
            CHECK(first.apply(change(action::replace, "notes", 1), {})
                      .error()
                      .kind == cj::error_kind::not_found);
        }
        WHEN("it is removed")
        {
            const auto gone =
                first.apply(change(action::remove, "tutor", 1), {}).value();
            CHECK(gone.deployments().empty());
            CHECK(gone.number() == cj::revision(2));
        }
    }
}

TEST_CASE("a configuration is read back as it was written", "[resource]")
{
    rc::prop("after any creations",
             [](const std::vector<std::uint8_t>& names)
             {
                 cj::configuration now;
                 for (const auto name : names)
                 {
                     auto next = now.apply(
                         change(action::create, "d" + std::to_string(name), 0),
                         cj::write_id(cj::random_id()));
                     if (next)
                         now = next.value();
                 }
                 const auto read = cj::configuration::parse(now.text());
                 RC_ASSERT(read);
                 RC_ASSERT(read.value().text() == now.text());
                 RC_ASSERT(read.value().deployments() == now.deployments());
             });
    rc::prop("noise is refused", [](const std::string& noise)
             { RC_ASSERT(!cj::configuration::parse(noise)); });
}
