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
