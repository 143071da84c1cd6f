#include "coursejunction/daemon/internal/held_versions.hpp"

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

SCENARIO("versions are held while they are the target or served", "[daemon]")
{
    const auto make = [](const std::string& bytes)
    { return std::make_shared<cj::chunk_store>(fixtures::manifest_of(bytes)); };
    const auto bytes = fixtures::model_bytes(2);
    const auto first = make(bytes);
    first->add(0, bytes.substr(0, fixtures::chunk_bytes));
    const auto second = make(bytes + fixtures::model_bytes(1, 'z'));
    const auto third = make(fixtures::model_bytes(1, 'y'));
    ci::held_versions held;
    for (const auto& version : {first, second, third})
        held.add(version->get_manifest().id(), version);

    THEN("a later version gets the chunks that it shares with an earlier one")
    {
        CHECK(second->contains(0));
        CHECK(held.find(second->get_manifest().id(), 0) == first->find(0));
        CHECK(held.find(second->get_manifest().id(), 1) == nullptr);
        CHECK(held.find(cj::digest::of("none"), 0) == nullptr);
    }
    WHEN("one is served and another is the target")
    {
        held.set_served(first->get_manifest().id());
        held.release_unused(third->get_manifest().id());
        THEN("only these two are kept")
        {
            CHECK(held.all().size() == 2);
            CHECK(held.find(second->get_manifest().id()) == nullptr);
            CHECK(held.find(first->get_manifest().id()) == first);
        }
    }
}
