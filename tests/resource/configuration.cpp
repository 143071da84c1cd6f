#include "coursejunction/resource/configuration.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using action = cj::configuration_change::action;

namespace
{

cj::configuration_change change(action kind, const std::string& name,
                                std::uint64_t base_revision, char version = 'a')
{
    cj::configuration_change made;
    made.kind = kind;
    made.name = cj::deployment_name(name);
    made.base_revision = cj::revision(base_revision);
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

        WHEN("two operators replace the revision that both have read")
        {
            const auto second = first.apply(
                change(action::replace, "tutor", 1, 'b'), cj::write_id("w2"));
            REQUIRE(second);
            const auto rejected = second.value().apply(
                change(action::replace, "tutor", 1, 'c'), cj::write_id("w3"));
            THEN("the second gets a conflict with the current revision")
            {
                REQUIRE_FALSE(rejected);
                CHECK(rejected.error().kind == cj::error_kind::conflict);
                CHECK(rejected.error().message ==
                      "deployment tutor is at revision 2");
            }
            THEN("the previous version is recorded for an abort")
            {
                CHECK(second.value()
                          .find(cj::deployment_name("tutor"))
                          ->previous_version == cj::digest::of("a"));
            }
        }
        WHEN("it is created again, or an absent one is replaced")
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
            const auto emptied =
                first.apply(change(action::remove, "tutor", 1), {}).value();
            CHECK(emptied.deployments().empty());
            CHECK(emptied.current_revision() == cj::revision(2));
        }
    }
}

TEST_CASE("parsing restores a configuration from its JSON", "[resource]")
{
    rc::prop("after any creations",
             [](const std::vector<std::uint8_t>& names)
             {
                 cj::configuration current;
                 for (const auto name : names)
                 {
                     auto next = current.apply(
                         change(action::create, "d" + std::to_string(name), 0),
                         cj::write_id(cj::random_id()));
                     if (next)
                         current = next.value();
                 }
                 const auto read = cj::configuration::parse(current.to_json());
                 RC_ASSERT(read);
                 RC_ASSERT(read.value().to_json() == current.to_json());
                 RC_ASSERT(read.value().deployments() == current.deployments());
             });
    rc::prop("arbitrary text is rejected", [](const std::string& text)
             { RC_ASSERT(!cj::configuration::parse(text)); });
}

SCENARIO("two branches of a configuration are merged", "[resource]")
{
    const auto write = [](const cj::configuration& from, action kind,
                          const std::string& name, std::uint64_t base_revision,
                          const std::string& id, char version = 'a')
    {
        return from
            .apply(change(kind, name, base_revision, version), cj::write_id(id))
            .value();
    };
    const auto has = [](const cj::configuration& in, const std::string& name)
    { return in.find(cj::deployment_name(name)) != nullptr; };
    const auto id = cj::write_id("join");

    auto shared = write({}, action::create, "tutor", 0, "w1");
    shared = write(shared, action::create, "notes", 0, "w2");
    const auto known = write(shared, action::create, "ledger", 0, "w3");

    GIVEN("a stored configuration that is an ancestor of the known one")
    {
        CHECK(known.descends_from(shared));
        CHECK_FALSE(shared.descends_from(known));
        CHECK(known.merge(shared, id).to_json() == known.to_json());
        CHECK(shared.merge(known, id).to_json() == known.to_json());
    }
    GIVEN("a stored configuration with another change under the same revision")
    {
        const auto stored = write(shared, action::create, "other", 0, "x3");
        CHECK(stored.current_revision() == known.current_revision());
        CHECK_FALSE(stored.descends_from(known));
        CHECK_FALSE(known.descends_from(stored));
        const auto merged = known.merge(stored, id);
        THEN("both changes are in the next revision")
        {
            CHECK(merged.current_revision() == cj::revision(4));
            CHECK(merged.descends_from(known));
            CHECK(merged.descends_from(stored));
            CHECK(has(merged, "ledger"));
            CHECK(has(merged, "other"));
        }
    }
    GIVEN("a deployment that one branch removed")
    {
        THEN("it stays removed, whichever branch that was")
        {
            const auto removed =
                write(shared, action::remove, "notes", 2, "x3");
            CHECK_FALSE(has(known.merge(removed, id), "notes"));
            CHECK_FALSE(has(removed.merge(known, id), "notes"));
            CHECK(has(known.merge(removed, id), "ledger"));
        }
    }
    GIVEN("a deployment that both branches replaced")
    {
        const auto own = write(shared, action::replace, "tutor", 1, "w3", 'b');
        const auto stored =
            write(shared, action::replace, "tutor", 1, "x3", 'c');
        const auto merged = own.merge(stored, id);
        THEN("the stored change is taken")
        {
            CHECK(merged.find(cj::deployment_name("tutor"))->version ==
                  cj::digest::of("c"));
        }
        THEN("a change based on either branch gets a conflict")
        {
            CHECK(merged.apply(change(action::replace, "tutor", 3), {})
                      .error()
                      .kind == cj::error_kind::conflict);
        }
    }
}
