#include "coursejunction/net/header_list.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

SCENARIO("header fields keep their order and duplicates", "[net]")
{
    cj::header_list list;
    list.push_back("X-A", "1");
    list.push_back("x-b", "2");
    list.push_back("X-A", "3");

    THEN("names are found regardless of case, and the first value is returned")
    {
        CHECK(list.find("x-a") == "1");
        CHECK(list.contains("X-B"));
        CHECK(list.find("none").empty());
        CHECK(list.size() == 3);
    }
    WHEN("a name is assigned")
    {
        list.assign("x-A", "4");
        THEN("it occurs once")
        {
            CHECK(list.size() == 2);
        }
    }
    GIVEN("hop-by-hop fields")
    {
        list.push_back("Connection", "close, X-B");
        list.push_back("Transfer-Encoding", "chunked");
        list.push_back("Content-Length", "4");
        list.push_back("Keep-Alive", "timeout=5");
        WHEN("they are erased")
        {
            list.erase_connection_fields();
            THEN("fields listed by Connection are erased too")
            {
                CHECK(list.size() == 2);
                CHECK_FALSE(list.contains("X-B"));
                CHECK(list.find("X-A") == "1");
            }
        }
    }
}
