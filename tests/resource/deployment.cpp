#include "coursejunction/resource/deployment.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace cj = coursejunction;

namespace
{

nlohmann::json good()
{
    return {{"name", "tutor"},
            {"model", "tutor-13b"},
            {"version", std::string(64, 'a')},
            {"placements", {{{"hall", "antigua"}, {"count", 4}}}}};
}

std::string fault_of(const nlohmann::json& from)
{
    const auto read = cj::deployment::parse(from.dump());
    return read ? std::string{} : read.error().message;
}

} // namespace

SCENARIO("a deployment's input is checked field by field", "[resource]")
{
    GIVEN("a good one")
    {
        const auto read = cj::deployment::parse(good().dump());
        REQUIRE(read);
        CHECK(cj::deployment::parse(read.value().to_json()).value() ==
              read.value());
    }
    GIVEN("bad ones")
    {
        auto from = good();
        SECTION("no JSON")
        {
            CHECK(cj::deployment::parse("{").error().message ==
                  "body: is not JSON");
        }
        SECTION("a missing field")
        {
            from.erase("version");
            CHECK(fault_of(from) == "version: is missing");
        }
        SECTION("an unknown field")
        {
            from["replica"] = 3;
            CHECK(fault_of(from) == "replica: is not a field of a deployment");
        }
        SECTION("a wrong hash")
        {
            from["version"] = "v2";
            CHECK(fault_of(from) == "version: must be the SHA-256 of a "
                                    "manifest, 64 hex digits");
        }
        SECTION("a negative count")
        {
            from["placements"][0]["count"] = -1;
            CHECK(fault_of(from).rfind("placements[0].count: ", 0) == 0);
        }
        SECTION("a hall twice")
        {
            from["placements"].push_back(from["placements"][0]);
            CHECK(fault_of(from) == "placements[1].hall: stands twice");
        }
        SECTION("a wrong weighting")
        {
            from["weigh"] = "money";
            CHECK(fault_of(from) == "weigh: must be time or origin");
        }
        SECTION("a name that no path can hold")
        {
            from["name"] = "a/b";
            CHECK(fault_of(from) == "name: must be 1 to 63 of a-z, 0-9 and -");
        }
    }
}
