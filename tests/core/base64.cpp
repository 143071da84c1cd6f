#include "coursejunction/core/base64.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace coursejunction;

TEST_CASE("base64 encoding and decoding", "[core]")
{
    rc::prop("decoding returns the encoded bytes", [](const std::string& bytes)
             { RC_ASSERT(from_base64(to_base64(bytes)).value() == bytes); });
    SECTION("known values, with padding")
    {
        CHECK(to_base64("node-1") == "bm9kZS0x");
        CHECK(to_base64("bytes") == "Ynl0ZXM=");
        CHECK(to_base64("byte") == "Ynl0ZQ==");
        CHECK(to_base64("").empty());
        CHECK(from_base64("").value().empty());
    }
    SECTION("invalid text is refused")
    {
        CHECK_FALSE(from_base64("bm9"));
        CHECK_FALSE(from_base64("????"));
    }
    rc::prop("arbitrary text is decoded or refused", [](const std::string& text)
             { static_cast<void>(from_base64(text)); });
}
