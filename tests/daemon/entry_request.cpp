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

std::string error_of(const std::string& path, const std::string& body,
                     cj::header_map headers = {})
{
    const auto parsed = parse(path, body, std::move(headers));
    return parsed ? std::string{} : parsed.error().message;
}

} // namespace

SCENARIO("a caller's request is parsed from its headers and body", "[daemon]")
{
    GIVEN("a completion request")
    {
        const auto parsed =
            parse("/v1/completions",
                  R"({"model":"tutor","prompt":")" + std::string(200, 'x') +
                      R"(","stream":true})",
                  {{"organisation", "school"}, {"deadline-ms", "250"}});
        REQUIRE(parsed);
        CHECK(parsed.value().route.model == "tutor");
        CHECK(parsed.value().streamed);
        CHECK(parsed.value().timeout == 250ms);
        CHECK(parsed.value().route.prefixes.size() == 3);
        CHECK_FALSE(parsed.value().id.empty());
    }
    GIVEN("a request to a plain service")
    {
        const auto parsed =
            parse("/services/ledger/charge", "{}",
                  {{"request-id", "c1"}, {"not-repeatable", "true"}});
        REQUIRE(parsed);
        CHECK(parsed.value().route.model == "ledger");
        CHECK(parsed.value().path == "/charge");
        CHECK(parsed.value().timeout == 7s);
        CHECK(parsed.value().not_repeatable);
    }
    GIVEN("invalid requests, each refused with the field at fault")
    {
        const std::string path = "/v1/completions";
        const std::string good = R"({"model":"tutor"})";
        CHECK(error_of(path, "{") == "body: must be a JSON object");
        CHECK(error_of(path, "[]") == "body: must be a JSON object");
        CHECK(error_of(path, R"({"model":7})") == "model: must be a string");
        CHECK(error_of(path, R"({"model":"m","prompt":[]})") ==
              "prompt: must be a string");
        CHECK(error_of(path, good, {{"deadline-ms", "0"}}) ==
              "Deadline-Ms: must lie between 1 and 3600000");
        CHECK(error_of(path, good, {{"not-repeatable", "yes"}}) ==
              "Not-Repeatable: must be true or false");
        CHECK(error_of(path, good, {{"not-repeatable", "true"}}) ==
              "Request-Id: is required with Not-Repeatable");
        CHECK(error_of(path, good, {{"request-id", std::string(300, 'x')}}) ==
              "Request-Id: must have at most 256 bytes");
        CHECK(error_of("/services/", "{}") ==
              "path: the service name is missing");
    }
}

TEST_CASE("arbitrary bodies and headers are parsed or refused without a crash",
          "[daemon]")
{
    rc::prop("for any bytes",
             [](const std::string& body, const std::string& header)
             {
                 static_cast<void>(parse("/v1/completions", body,
                                         {{"deadline-ms", header},
                                          {"priority", header},
                                          {"organisation", header}}));
             });
}
