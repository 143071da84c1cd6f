#include "coursejunction/daemon/internal/token_record.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

SCENARIO("a token record names the process that acquired the token", "[daemon]")
{
    GIVEN("a record")
    {
        const auto text = ci::format_token({cj::fencing_token(12), "i/ab cd"});
        CHECK(text == "12 i/ab cd");
        const auto read = ci::parse_token(text);
        CHECK(read.token == cj::fencing_token(12));
        CHECK(read.owner == "i/ab cd");
    }
    GIVEN("text that is not a record")
    {
        CHECK(ci::parse_token("").token.empty());
        CHECK(ci::parse_token("12").token.empty());
        CHECK(ci::parse_token("12").owner.empty());
        CHECK(ci::parse_token("x y").token.empty());
    }
}
