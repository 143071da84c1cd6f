#include "coursejunction/net/http_client.hpp"

#include <atomic>
#include <memory>

#include <catch2/catch.hpp>

#include "net/dripping_server.hpp"
#include "net/loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

cj::http_result call(const std::string& address, cj::http_call request)
{
    loopback::running_loop running;
    std::unique_ptr<cj::http_client> client;
    cj::http_result outcome;
    std::atomic<bool> done{false};
    request.url = "http://" + address + "/";
    running.on_loop(
        [&]
        {
            client = std::make_unique<cj::http_client>(running.loop);
            client->start(std::move(request),
                          [&](cj::http_result result)
                          {
                              outcome = std::move(result);
                              done = true;
                              done.notify_all();
                          });
        });
    done.wait(false);
    running.stop();
    return outcome;
}

} // namespace

SCENARIO("an HTTP client ends stalled calls but not slow ones", "[net]")
{
    cj::http_call request;
    request.answer_time = 1500ms;
    request.stall_time = 1500ms;

    GIVEN("a response that takes twice the limit but never stalls")
    {
        const loopback::dripping_server server(15, 200ms, 15);
        const auto outcome = call(server.address(), request);
        CHECK(outcome.ok());
        CHECK(outcome.body.size() == 15);
        CHECK(outcome.received == 15);
        CHECK(outcome.connect_time > 0us);
    }
    GIVEN("a response that stalls after three bytes")
    {
        const loopback::dripping_server server(15, 20ms, 3);
        const auto outcome = call(server.address(), request);
        CHECK(outcome.reach == cj::http_reach::interrupted);
        CHECK(outcome.received == 3);
    }
    GIVEN("a server that sends nothing")
    {
        const loopback::dripping_server server(15, 20ms, 0);
        request.answer_time = 300ms;
        const auto outcome = call(server.address(), request);
        CHECK(outcome.reach == cj::http_reach::interrupted);
        CHECK(outcome.received == 0);
    }
}

SCENARIO("an HTTP client tells whether anything but the end of its connection "
         "delimits a response",
         "[net]")
{
    const auto result_of = [](const std::string& response)
    {
        loopback::scripted_peer peer({response});
        cj::http_call request;
        request.new_connection = true;
        return call(peer.address, request);
    };
    SECTION("neither a length nor chunks")
    {
        const auto result = result_of("HTTP/1.1 200 OK\r\n\r\nall of it");
        CHECK(result.unframed);
        CHECK(result.body == "all of it");
    }
    SECTION("a length")
    {
        const auto result =
            result_of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        CHECK(result.ok());
        CHECK_FALSE(result.unframed);
    }
    SECTION("chunks")
    {
        const auto result =
            result_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\nok\r\n0\r\n\r\n");
        CHECK(result.ok());
        CHECK_FALSE(result.unframed);
    }
    SECTION("a status without a body")
    {
        CHECK_FALSE(result_of("HTTP/1.1 204 No Content\r\n\r\n").unframed);
    }
    SECTION("a response shorter than its length is interrupted")
    {
        const auto result =
            result_of("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
        CHECK(result.reach == cj::http_reach::interrupted);
        CHECK_FALSE(result.unframed);
    }
}
