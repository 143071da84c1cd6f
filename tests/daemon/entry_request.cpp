#include "coursejunction/daemon/entry_request.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::result<cj::entry_request> parse(const std::string& path,
                                    const std::string& body,
                                    cj::header_map headers = {})
{
    cj::http_request from;
    from.method = "POST";
    from.path = path;
    from.body = body;
    from.headers = std::move(headers);
    return cj::parse_entry_request(from, 7s);
}

std::string fault(const std::string& path, const std::string& body,
                  cj::header_map headers = {})
{
    const auto read = parse(path, body, std::move(headers));
    return read ? std::string{} : read.error().message;
}

} // namespace

SCENARIO("a caller's request is read from head and body", "[daemon]")
{
    GIVEN("a completion")
    {
        const auto read =
            parse("/v1/completions",
                  R"({"model":"tutor","prompt":")" + std::string(200, 'x') +
                      R"(","stream":true})",
                  {{"organisation", "school"}, {"deadline-ms", "250"}});
        REQUIRE(read);
        CHECK(read.value().route.model == "tutor");
        CHECK(read.value().streamed);
        CHECK(read.value().timeout == 250ms);
        CHECK(read.value().route.prefixes.size() == 3);
        CHECK_FALSE(read.value().id.empty());
    }
    GIVEN("a call of a plain service")
    {
        const auto read =
            parse("/services/ledger/charge", "{}",
                  {{"request-id", "c1"}, {"not-repeatable", "true"}});
        REQUIRE(read);
        CHECK(read.value().route.model == "ledger");
        CHECK(read.value().path == "/charge");
        CHECK(read.value().timeout == 7s);
        CHECK(read.value().not_repeatable);
    }
    GIVEN("faults")
    {
        const std::string path = "/v1/completions";
        const std::string good = R"({"model":"tutor"})";
        CHECK(fault(path, "{") == "body: must be a JSON object");
        CHECK(fault(path, "[]") == "body: must be a JSON object");
        CHECK(fault(path, R"({"model":7})") == "model: must be a text");
        CHECK(fault(path, R"({"model":"m","prompt":[]})") ==
              "prompt: must be a text");
        CHECK(fault(path, good, {{"deadline-ms", "0"}}) ==
              "Deadline-Ms: must lie between 1 and 3600000");
        CHECK(fault(path, good, {{"not-repeatable", "yes"}}) ==
              "Not-Repeatable: must be true or false");
        CHECK(fault(path, good, {{"not-repeatable", "true"}}) ==
              "Request-Id: is needed with Not-Repeatable");
        CHECK(fault(path, good, {{"request-id", std::string(300, 'x')}}) ==
              "Request-Id: must have at most 256 bytes");
        CHECK(fault("/services/", "{}") == "path: names no service");
    }
}

TEST_CASE("any body is read or refused", "[daemon]")
{
    rc::prop("whatever the bytes",
             [](const std::string& body, const std::string& header)
             {
                 static_cast<void>(parse("/v1/completions", body,
                                         {{"deadline-ms", header},
                                          {"priority", header},
                                          {"organisation", header}}));
             });
}
