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

cj::http_result call(const std::string& address, cj::http_call one)
{
    loopback::running_loop running;
    std::unique_ptr<cj::http_client> client;
    cj::http_result told;
    std::atomic<bool> done{false};
    one.url = "http://" + address + "/";
    running.on_loop(
        [&]
        {
            client = std::make_unique<cj::http_client>(running.loop);
            client->start(std::move(one),
                          [&](cj::http_result answer)
                          {
                              told = std::move(answer);
                              done = true;
                              done.notify_all();
                          });
        });
    done.wait(false);
    running.stop();
    return told;
}

} // namespace

SCENARIO("a limit on progress lets a long answer end", "[net]")
{
    cj::http_call one;
    one.answer_time = 1500ms;
    one.stall_time = 1500ms;

    GIVEN("an answer that takes twice the limit, and moves all the while")
    {
        const loopback::dripping_server server(15, 200ms, 15);
        const auto told = call(server.address(), one);
        CHECK(told.ok());
        CHECK(told.body.size() == 15);
        CHECK(told.received == 15);
        CHECK(told.connect_time > 0us);
    }
    GIVEN("an answer that stops on its way")
    {
        const loopback::dripping_server server(15, 20ms, 3);
        const auto told = call(server.address(), one);
        CHECK(told.reach == cj::http_reach::interrupted);
        CHECK(told.received == 3);
    }
    GIVEN("a server that says nothing")
    {
        const loopback::dripping_server server(15, 20ms, 0);
        one.answer_time = 300ms;
        const auto told = call(server.address(), one);
        CHECK(told.reach == cj::http_reach::interrupted);
        CHECK(told.received == 0);
    }
}
