#include "coursejunction/transfer/manifest.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;

SCENARIO("a manifest is what its hash names", "[transfer]")
{
    const auto bytes = fixtures::model_bytes(3) + "tail";
    const auto text = cj::manifest::build_json("/m", bytes, 16);
    GIVEN("the right text")
    {
        const auto read = cj::manifest::parse(text, cj::digest::of(text));
        REQUIRE(read);
        CHECK(read.value().size() == 4);
        CHECK(read.value().chunk_bytes(3) == 4);
        CHECK(read.value()[3] == cj::digest::of("tail"));
    }
    GIVEN("a corrupted text")
    {
        auto changed = text;
        changed[changed.size() / 2] ^= 1;
        CHECK_FALSE(cj::manifest::parse(changed, cj::digest::of(text)));
    }
    GIVEN("texts that lie under their own hash")
    {
        const auto refused = [](const std::string& lie)
        { return !cj::manifest::parse(lie, cj::digest::of(lie)); };
        CHECK(refused("{}"));
        CHECK(refused(R"({"path":"/m","bytes":99999999999,"chunk_bytes":1,)"
                      R"("chunks":[]})"));
        CHECK(refused(R"({"path":"/m","bytes":1,"chunk_bytes":0,)"
                      R"("chunks":["x"]})"));
        CHECK(refused(R"({"path":"/m","bytes":1,"chunk_bytes":1,)"
                      R"("chunks":[7]})"));
    }
}

SCENARIO("a manifest assembled from hashes is passed on as lines", "[transfer]")
{
    const auto made =
        cj::manifest::assemble(16, {cj::digest::of("a"), cj::digest::of("b")});
    REQUIRE(made);
    CHECK(made.value().size() == 2);
    CHECK(made.value().total_bytes() == 32);
    CHECK(made.value().chunk_bytes(1) == 16);

    const auto read = cj::manifest::from_lines(made.value().to_lines());
    REQUIRE(read);
    CHECK(read.value().id() == made.value().id());
    CHECK(read.value()[1] == cj::digest::of("b"));

    CHECK_FALSE(cj::manifest::from_lines(""));
    CHECK_FALSE(cj::manifest::from_lines("16\nnonsense\n"));
    CHECK_FALSE(cj::manifest::from_lines("0\n"));
    CHECK_FALSE(cj::manifest::assemble(16, {}));
}
