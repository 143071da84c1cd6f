#include "coursejunction/cli/api_client.hpp"

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

namespace cj = coursejunction;

SCENARIO("a response of an entry that may have broken off is not a result",
         "[cli]")
{
    const loopback::scripted_peer entry({"HTTP/1.1 200 OK\r\n\r\n{}"});
    const cj::api_client client("http://" + entry.address, "token");
    SECTION("a read has none")
    {
        const auto response = client.call("GET", "/v1/status");
        CHECK(response.code == cj::cli_exit::unavailable);
        CHECK(response.message.ends_with("the response may be incomplete"));
    }
    SECTION("a change may have been made")
    {
        const auto response = client.call("PUT", "/v1/deployments/a", "{}");
        CHECK(response.code == cj::cli_exit::unknown);
    }
}

SCENARIO("a read waits for an entry that has just started", "[cli]")
{
    // Guards against an operator's call that fails because the entry has not
    // read its configuration yet.
    const std::string starting = "HTTP/1.1 503 Service Unavailable\r\n"
                                 "Content-Length: 0\r\n\r\n";
    const std::string ready = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    GIVEN("an entry that answers 503 twice before it is ready")
    {
        loopback::scripted_peer entry({starting, starting, ready});
        const cj::api_client client("http://" + entry.address, "token");
        WHEN("it is read")
        {
            const auto response = client.read("/v1/deployments");
            THEN("the third answer is the result")
            {
                CHECK(response.ok());
                CHECK(response.body == "{}");
                CHECK(entry.arrivals().size() == 3);
            }
        }
        WHEN("it is called to change something")
        {
            const auto response = client.call("PUT", "/v1/deployments/a", "{}");
            THEN("the call is not repeated")
            {
                CHECK(response.code == cj::cli_exit::unavailable);
                CHECK(entry.arrivals().size() == 1);
            }
        }
    }
    GIVEN("an entry that stays unavailable")
    {
        loopback::scripted_peer entry({starting});
        const cj::api_client client("http://" + entry.address, "token");
        THEN("the read gives up")
        {
            CHECK(client.read("/v1/status").code == cj::cli_exit::unavailable);
        }
    }
}
