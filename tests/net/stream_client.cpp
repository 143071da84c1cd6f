#include "coursejunction/net/stream_client.hpp"

#include <atomic>
#include <optional>
#include <thread>

#include <catch2/catch.hpp>

#include "net/dripping_server.hpp"
#include "net/loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using loopback::scripted_peer;

namespace
{

cj::stream_client::answer call(const std::string& address,
                               bool repeatable = false,
                               std::chrono::milliseconds stall_time = 0ms)
{
    loopback::running_loop running;
    std::unique_ptr<cj::stream_client> client;
    std::optional<cj::stream_client::answer> told;
    std::atomic<bool> done{false};
    running.on_loop(
        [&]
        {
            client = std::make_unique<cj::stream_client>(running.loop);
            cj::stream_call one;
            one.address = address;
            one.target = "/";
            one.timeout = 5000ms;
            one.connect_time = 3000ms;
            one.repeatable = repeatable;
            one.stall_time = stall_time;
            client->gather(std::move(one),
                           [&](cj::stream_client::answer answer)
                           {
                               told = std::move(answer);
                               done = true;
                               done.notify_all();
                           });
        });
    done.wait(false);
    running.on_loop([&] { client.reset(); });
    return *told;
}

} // namespace

SCENARIO("a call tells how far it got", "[net]")
{
    using cj::stream_end;
    SECTION("a whole answer with a length")
    {
        scripted_peer peer(
            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore"});
        const auto answer = call(peer.address);
        CHECK(answer.end == stream_end::whole);
        CHECK(answer.body == "ok");
    }
    SECTION("an answer without a length ends with its connection")
    {
        scripted_peer peer({"HTTP/1.1 200 OK\r\n\r\nall of it"});
        const auto answer = call(peer.address);
        CHECK(answer.end == stream_end::whole);
        CHECK(answer.body == "all of it");
    }
    SECTION("an answer that ends early is told as closed by the peer")
    {
        scripted_peer peer({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"});
        CHECK(call(peer.address).end == stream_end::closed);
    }
    SECTION("chunks without their end are told as closed by the peer")
    {
        scripted_peer peer({"HTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"});
        CHECK(call(peer.address).end == stream_end::closed);
    }
    SECTION("bytes that are no answer")
    {
        scripted_peer peer({"nonsense\r\n\r\n"});
        CHECK(call(peer.address).end == stream_end::malformed);
    }
    SECTION("silence and an end")
    {
        scripted_peer peer({""});
        CHECK(call(peer.address).end == stream_end::closed);
    }
    SECTION("nobody listens: nothing was sent")
    {
        std::string address;
        {
            scripted_peer gone(std::vector<std::string>{});
            address = gone.address;
        }
        CHECK(call(address).end == stream_end::not_sent);
    }
}

SCENARIO("a kept connection that is dead costs no failure", "[net]")
{
    const std::string kept = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_peer peer({kept, kept});
    loopback::running_loop running;
    std::unique_ptr<cj::stream_client> client;
    std::atomic<int> good{0};
    const auto ask = [&](int number)
    {
        running.on_loop(
            [&]
            {
                if (!client)
                    client = std::make_unique<cj::stream_client>(running.loop);
                cj::stream_call one;
                one.address = peer.address;
                one.target = "/";
                one.repeatable = true;
                one.connect_time = 3000ms;
                client->gather(std::move(one),
                               [&](const cj::stream_client::answer& answer)
                               {
                                   good += answer.is(200) ? 1 : 100;
                                   good.notify_all();
                               });
            });
        good.wait(number - 1);
    };
    ask(1);
    ask(2);
    CHECK(good == 2);
    running.on_loop([&] { client.reset(); });
}

SCENARIO("a call that is given up resets its connection", "[net]")
{
    scripted_peer peer({scripted_peer::hang});
    loopback::running_loop running;
    std::unique_ptr<cj::stream_client> client;
    cj::stream_client::call_id id{};
    const auto ask = [&](std::chrono::milliseconds limit)
    {
        running.on_loop(
            [&]
            {
                client = std::make_unique<cj::stream_client>(running.loop);
                cj::stream_call one;
                one.address = peer.address;
                one.target = "/";
                one.timeout = limit;
                one.connect_time = 3000ms;
                id = client->gather(std::move(one),
                                    [](const cj::stream_client::answer&) {});
            });
        while (peer.arrivals().empty())
            std::this_thread::sleep_for(1ms);
    };
    SECTION("when its owner cancels it")
    {
        ask(10'000ms);
        running.on_loop([&] { client->cancel(id); });
    }
    SECTION("when its time is over")
    {
        ask(500ms);
    }
    peer.closed_by_caller.wait(false);
    CHECK(peer.reset_by_caller);
    running.on_loop([&] { client.reset(); });
}

SCENARIO("a call goes on for as long as its answer moves", "[net]")
{
    constexpr auto stall_time = 1500ms;
    GIVEN("an answer that takes twice the limit, and moves all the while")
    {
        const loopback::dripping_server server(15, 200ms, 15);
        const auto told = call(server.address(), false, stall_time);
        CHECK(told.is(200));
        CHECK(told.body.size() == 15);
    }
    GIVEN("an answer that stops on its way")
    {
        const loopback::dripping_server server(15, 20ms, 3);
        const auto told = call(server.address(), false, stall_time);
        CHECK(told.end == cj::stream_end::broken);
        CHECK(told.why == "call made no progress");
    }
    GIVEN("a server that says nothing")
    {
        const loopback::dripping_server server(15, 20ms, 0);
        const auto told = call(server.address(), false, 300ms);
        CHECK(told.end == cj::stream_end::broken);
    }
}

SCENARIO("a probe tells whether anybody listens", "[net]")
{
    const auto refused = [](const std::string& address)
    {
        loopback::running_loop running;
        std::unique_ptr<cj::stream_client> client;
        std::atomic<int> told{-1};
        running.on_loop(
            [&]
            {
                client = std::make_unique<cj::stream_client>(running.loop);
                client->probe(address,
                              [&](bool is)
                              {
                                  told = is ? 1 : 0;
                                  told.notify_all();
                              });
            });
        told.wait(-1);
        running.on_loop([&] { client.reset(); });
        return told == 1;
    };

    SECTION("somebody does")
    {
        scripted_peer peer({"x"});
        CHECK_FALSE(refused(peer.address));
        CHECK(peer.arrivals().empty());
    }
    SECTION("nobody does any more")
    {
        std::string address;
        {
            scripted_peer peer({"x"});
            address = peer.address;
        }
        CHECK(refused(address));
    }
}
