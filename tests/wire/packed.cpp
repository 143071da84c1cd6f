#include "coursejunction/wire/packed.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

SCENARIO("large values are compressed", "[wire]")
{
    GIVEN("similar routes")
    {
        std::string plain;
        for (int at = 0; at < 4200; ++at)
            plain += R"({"name":"route-)" +
                     std::to_string(at * 7919 % 100'003) +
                     R"(","type":"streaming","service":"tutor",)" +
                     R"("timeoutMs":6000,"targetLatencyMs":400},)";
        const auto packed = cj::pack(plain);
        THEN("they shrink to under a tenth and decompress to the original")
        {
            CHECK(packed.size() < plain.size() / 10);
            CHECK(cj::unpack(packed, plain.size()).value() == plain);
        }
        THEN("a wrong uncompressed size is refused")
        {
            CHECK_FALSE(cj::unpack(packed, plain.size() - 1));
            CHECK_FALSE(cj::unpack(packed, plain.size() + 1));
            CHECK_FALSE(cj::unpack(packed, cj::max_unpacked_bytes + 1));
        }
        THEN("truncated or corrupted data is refused")
        {
            CHECK_FALSE(
                cj::unpack(packed.substr(0, packed.size() / 2), plain.size()));
            auto corrupted = packed;
            corrupted[corrupted.size() / 2] ^= 0x55;
            CHECK_FALSE(cj::unpack(corrupted, plain.size()));
        }
    }
    rc::prop("any bytes decompress to the original",
             [](const std::string& plain) {
                 RC_ASSERT(cj::unpack(cj::pack(plain), plain.size()).value() ==
                           plain);
             });
    rc::prop("arbitrary input is refused or has the stated size",
             [](const std::string& any)
             {
                 const auto read = cj::unpack(any, 100);
                 if (read)
                     RC_ASSERT(read.value().size() == 100U);
             });
}
