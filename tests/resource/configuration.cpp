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
    made.base_revision = cj::revision(read);
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
        CHECK(first.current_revision() == cj::revision(1));
        CHECK(first.revision_of_write(cj::write_id("w1")) == cj::revision(1));
        CHECK_FALSE(first.revision_of_write(cj::write_id("w2")));

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
                          ->previous_version == cj::digest::of("a"));
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
            CHECK(gone.current_revision() == cj::revision(2));
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
                 const auto read = cj::configuration::parse(now.to_json());
                 RC_ASSERT(read);
                 RC_ASSERT(read.value().to_json() == now.to_json());
                 RC_ASSERT(read.value().deployments() == now.deployments());
             });
    rc::prop("noise is refused", [](const std::string& noise)
             { RC_ASSERT(!cj::configuration::parse(noise)); });
}

SCENARIO("two branches of a configuration are joined", "[resource]")
{
    const auto write = [](const cj::configuration& from, action kind,
                          const std::string& name, std::uint64_t read,
                          const std::string& id, char version = 'a')
    {
        return from.apply(change(kind, name, read, version), cj::write_id(id))
            .value();
    };
    const auto has = [](const cj::configuration& in, const std::string& name)
    { return in.find(cj::deployment_name(name)) != nullptr; };
    const auto id = cj::write_id("join");

    auto shared = write({}, action::create, "tutor", 0, "w1");
    shared = write(shared, action::create, "notes", 0, "w2");
    const auto known = write(shared, action::create, "ledger", 0, "w3");

    GIVEN("a service that holds the common ancestor")
    {
        CHECK(known.descends_from(shared));
        CHECK_FALSE(shared.descends_from(known));
        CHECK(known.merge(shared, id).to_json() == known.to_json());
        CHECK(shared.merge(known, id).to_json() == known.to_json());
    }
    GIVEN("a service that holds another change under the same revision")
    {
        const auto stored = write(shared, action::create, "other", 0, "x3");
        CHECK(stored.current_revision() == known.current_revision());
        CHECK_FALSE(stored.descends_from(known));
        CHECK_FALSE(known.descends_from(stored));
        const auto joined = known.merge(stored, id);
        THEN("both changes are in the next revision")
        {
            CHECK(joined.current_revision() == cj::revision(4));
            CHECK(joined.descends_from(known));
            CHECK(joined.descends_from(stored));
            CHECK(has(joined, "ledger"));
            CHECK(has(joined, "other"));
        }
    }
    GIVEN("a deployment that one side removed")
    {
        THEN("it stays removed, whichever side that was")
        {
            const auto gone = write(shared, action::remove, "notes", 2, "x3");
            CHECK_FALSE(has(known.merge(gone, id), "notes"));
            CHECK_FALSE(has(gone.merge(known, id), "notes"));
            CHECK(has(known.merge(gone, id), "ledger"));
        }
    }
    GIVEN("a deployment that both sides replaced")
    {
        const auto own = write(shared, action::replace, "tutor", 1, "w3", 'b');
        const auto stored =
            write(shared, action::replace, "tutor", 1, "x3", 'c');
        const auto joined = own.merge(stored, id);
        THEN("the change that the service holds counts")
        {
            CHECK(joined.find(cj::deployment_name("tutor"))->version ==
                  cj::digest::of("c"));
        }
        THEN("an operator who read either one gets a conflict")
        {
            CHECK(joined.apply(change(action::replace, "tutor", 3), {})
                      .error()
                      .kind == cj::error_kind::conflict);
        }
    }
}
