#include "coursejunction/transfer/manifest.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;

SCENARIO("a manifest is accepted only if its text matches its hash",
         "[transfer]")
{
    const auto bytes = fixtures::model_bytes(3) + "tail";
    const auto text = cj::manifest::build_json("/m", bytes, 16);
    GIVEN("the right text")
    {
        const auto parsed = cj::manifest::parse(text, cj::digest::of(text));
        REQUIRE(parsed);
        CHECK(parsed.value().size() == 4);
        CHECK(parsed.value().chunk_bytes(3) == 4);
        CHECK(parsed.value()[3] == cj::digest::of("tail"));
    }
    GIVEN("a corrupted text")
    {
        auto changed = text;
        changed[changed.size() / 2] ^= 1;
        CHECK_FALSE(cj::manifest::parse(changed, cj::digest::of(text)));
    }
    GIVEN("malformed texts that match their hash")
    {
        const auto refused = [](const std::string& malformed)
        { return !cj::manifest::parse(malformed, cj::digest::of(malformed)); };
        CHECK(refused("{}"));
        CHECK(refused(R"({"path":"/m","bytes":99999999999,"chunk_bytes":1,)"
                      R"("chunks":[]})"));
        CHECK(refused(R"({"path":"/m","bytes":1,"chunk_bytes":0,)"
                      R"("chunks":["x"]})"));
        CHECK(refused(R"({"path":"/m","bytes":1,"chunk_bytes":1,)"
                      R"("chunks":[7]})"));
    }
}

SCENARIO("a manifest assembled from hashes survives to_lines and from_lines",
         "[transfer]")
{
    const auto assembled =
        cj::manifest::assemble(16, {cj::digest::of("a"), cj::digest::of("b")});
    REQUIRE(assembled);
    CHECK(assembled.value().size() == 2);
    CHECK(assembled.value().total_bytes() == 32);
    CHECK(assembled.value().chunk_bytes(1) == 16);

    const auto parsed = cj::manifest::from_lines(assembled.value().to_lines());
    REQUIRE(parsed);
    CHECK(parsed.value().id() == assembled.value().id());
    CHECK(parsed.value()[1] == cj::digest::of("b"));

    CHECK_FALSE(cj::manifest::from_lines(""));
    CHECK_FALSE(cj::manifest::from_lines("16\nnonsense\n"));
    CHECK_FALSE(cj::manifest::from_lines("0\n"));
    CHECK_FALSE(cj::manifest::assemble(16, {}));
}
