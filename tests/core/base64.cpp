#include "coursejunction/core/base64.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace coursejunction;

TEST_CASE("bytes are told as text", "[core]")
{
    rc::prop("and read back", [](const std::string& bytes)
             { RC_ASSERT(from_base64(to_base64(bytes)).value() == bytes); });
    SECTION("with padding")
    {
        CHECK(to_base64("node-1") == "bm9kZS0x");
        CHECK(to_base64("bytes") == "Ynl0ZXM=");
        CHECK(to_base64("byte") == "Ynl0ZQ==");
        CHECK(to_base64("").empty());
        CHECK(from_base64("").value().empty());
    }
    SECTION("what is no such text is refused")
    {
        CHECK_FALSE(from_base64("bm9"));
        CHECK_FALSE(from_base64("????"));
    }
    rc::prop("any text is read or refused", [](const std::string& text)
             { static_cast<void>(from_base64(text)); });
}
