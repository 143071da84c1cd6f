#include "coursejunction/core/digest.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

SCENARIO("digests and HMACs match published test vectors", "[core]")
{
    CHECK(cj::digest::of("abc").hex() ==
          "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    // RFC 4231, test case 2, truncated to 16 bytes.
    const auto code =
        cj::keyed_code("Jefe", "what do ya want ", "for nothing?");
    CHECK(cj::to_hex({reinterpret_cast<const char*>(code.data()),
                      code.size()}) == "5bdcc146bf60754e6a042426089575c7");
    CHECK_FALSE(cj::digest::parse("abc"));
    CHECK_FALSE(cj::digest::parse(std::string(64, 'x')));
}

TEST_CASE("hexadecimal decoding returns the encoded bytes", "[core]")
{
    rc::prop("for any bytes", [](const std::string& bytes)
             { RC_ASSERT(cj::from_hex(cj::to_hex(bytes)).value() == bytes); });
}
