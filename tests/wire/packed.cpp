#include "coursejunction/wire/packed.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

SCENARIO("large values travel packed", "[wire]")
{
    GIVEN("routes that are nearly alike")
    {
        std::string plain;
        for (int at = 0; at < 4200; ++at)
            plain += R"({"name":"route-)" +
                     std::to_string(at * 7919 % 100'003) +
                     R"(","type":"streaming","service":"tutor",)" +
                     R"("timeoutMs":6000,"targetLatencyMs":400},)";
        const auto packed = cj::pack(plain);
        THEN("they shrink to under a tenth and come back as they were")
        {
            CHECK(packed.size() < plain.size() / 10);
            CHECK(cj::unpack(packed, plain.size()).value() == plain);
        }
        THEN("a sender that tells another size is refused")
        {
            CHECK_FALSE(cj::unpack(packed, plain.size() - 1));
            CHECK_FALSE(cj::unpack(packed, plain.size() + 1));
            CHECK_FALSE(cj::unpack(packed, cj::max_unpacked_bytes + 1));
        }
        THEN("bytes that are cut or spoilt are refused")
        {
            CHECK_FALSE(
                cj::unpack(packed.substr(0, packed.size() / 2), plain.size()));
            auto spoilt = packed;
            spoilt[spoilt.size() / 2] ^= 0x55;
            CHECK_FALSE(cj::unpack(spoilt, plain.size()));
        }
    }
    rc::prop("any bytes come back as they were",
             [](const std::string& plain) {
                 RC_ASSERT(cj::unpack(cj::pack(plain), plain.size()).value() ==
                           plain);
             });
    rc::prop("no bytes of a peer end the process",
             [](const std::string& any)
             {
                 const auto read = cj::unpack(any, 100);
                 if (read)
                     RC_ASSERT(read.value().size() == 100U);
             });
}
