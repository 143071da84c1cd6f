#include "coursejunction/resource/deployment.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace cj = coursejunction;

namespace
{

nlohmann::json valid_deployment()
{
    return {{"name", "tutor"},
            {"model", "tutor-13b"},
            {"version", std::string(64, 'a')},
            {"placements", {{{"hall", "antigua"}, {"count", 4}}}}};
}

std::string parse_error(const nlohmann::json& object)
{
    const auto read = cj::deployment::parse(object.dump());
    return read ? std::string{} : read.error().message;
}

} // namespace

SCENARIO("parsing a deployment reports the first wrong field", "[resource]")
{
    GIVEN("a valid deployment")
    {
        const auto read = cj::deployment::parse(valid_deployment().dump());
        REQUIRE(read);
        CHECK(cj::deployment::parse(read.value().to_json()).value() ==
              read.value());
    }
    GIVEN("an invalid deployment")
    {
        auto object = valid_deployment();
        SECTION("invalid JSON")
        {
            CHECK(cj::deployment::parse("{").error().message ==
                  "body: is not valid JSON");
        }
        SECTION("a missing field")
        {
            object.erase("version");
            CHECK(parse_error(object) == "version: is missing");
        }
        SECTION("an unknown field")
        {
            object["replica"] = 3;
            CHECK(parse_error(object) ==
                  "replica: is not a field of a deployment");
        }
        SECTION("a version that is not a SHA-256")
        {
            object["version"] = "v2";
            CHECK(parse_error(object) == "version: must be the SHA-256 of a "
                                         "manifest, 64 hex digits");
        }
        SECTION("a negative count")
        {
            object["placements"][0]["count"] = -1;
            CHECK(parse_error(object).rfind("placements[0].count: ", 0) == 0);
        }
        SECTION("two placements in one hall")
        {
            object["placements"].push_back(object["placements"][0]);
            CHECK(parse_error(object) ==
                  "placements[1].hall: has another placement already");
        }
        SECTION("an unknown rollout objective")
        {
            object["weigh"] = "money";
            CHECK(parse_error(object) == "weigh: must be time or origin");
        }
        SECTION("a name that is not usable in a URL path")
        {
            object["name"] = "a/b";
            CHECK(parse_error(object) ==
                  "name: must be 1 to 63 characters of a-z, 0-9 and -");
        }
    }
}
