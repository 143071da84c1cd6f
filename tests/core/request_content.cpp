#include "coursejunction/core/request_content.hpp"

#include <catch2/catch.hpp>

using coursejunction::request_content;

TEST_CASE("requests are identified by their content", "[core]")
{
    const auto first = request_content::of("school", "/essays?a=1", "body");

    SECTION("the same caller, target and body give the same digest")
    {
        CHECK(request_content::of("school", "/essays?a=1", "body") == first);
    }
    SECTION("another caller, target or body gives another digest")
    {
        CHECK(request_content::of("club", "/essays?a=1", "body") != first);
        CHECK(request_content::of("school", "/essays?a=2", "body") != first);
        CHECK(request_content::of("school", "/essays?a=1", "bodY") != first);
        // The whole body counts, not only its beginning.
        const std::string long_body(1U << 20U, 'x');
        CHECK(request_content::of("school", "/essays", long_body + "1") !=
              request_content::of("school", "/essays", long_body + "2"));
    }
    SECTION("the same bytes split differently give another digest")
    {
        CHECK(request_content::of("school/", "essays?a=1", "body") != first);
        CHECK(request_content::of("school", "/essays?a=", "1body") != first);
    }
    SECTION("the hexadecimal form is parsed back")
    {
        CHECK(first.hex().size() == 32);
        CHECK(request_content::parse(first.hex()).value() == first);
        CHECK_FALSE(request_content::parse("12"));
        CHECK_FALSE(request_content::parse(std::string(32, 'g')));
    }
}
