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
