#include "coursejunction/net/internal/answer_text.hpp"

#include <boost/beast/http/error.hpp>
#include <catch2/catch.hpp>

namespace ci = coursejunction::internal;
namespace http = boost::beast::http;

SCENARIO("a response head declares how its body ends", "[net]")
{
    coursejunction::header_list headers;
    headers.push_back("X-Name", "a b");

    GIVEN("a body of known length")
    {
        CHECK(ci::answer_head(200, headers, 11, 5, false) ==
              "HTTP/1.1 200 OK\r\nX-Name: a b\r\nContent-Length: 5\r\n\r\n");
    }
    GIVEN("a body of unknown length")
    {
        CHECK(ci::answer_head(200, {}, 11, std::nullopt, false) ==
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        THEN("an HTTP/1.0 response ends when the connection closes")
        {
            CHECK(ci::answer_head(200, {}, 10, std::nullopt, true) ==
                  "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n");
        }
    }
    GIVEN("a chunk of a body")
    {
        CHECK(ci::chunk_text("0123456789abcdef") ==
              "10\r\n0123456789abcdef\r\n");
    }
}

SCENARIO("a parse error selects the response status", "[net]")
{
    CHECK(ci::refusal_status(http::error::header_limit) == 431);
    CHECK(ci::refusal_status(http::error::body_limit) == 413);
    CHECK(ci::refusal_status(http::error::bad_method) == 400);
}
