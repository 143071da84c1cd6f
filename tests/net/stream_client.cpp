#include "coursejunction/net/stream_client.hpp"

#include <atomic>
#include <optional>
#include <thread>

#include <catch2/catch.hpp>

#include "net/dripping_server.hpp"
#include "net/loopback.hpp"
#include "net/resetting_peer.hpp"
#include "net/running_server.hpp"
#include "net/stalled_loop.hpp"

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
    std::optional<cj::stream_client::answer> outcome;
    std::atomic<bool> done{false};
    running.on_loop(
        [&]
        {
            client = std::make_unique<cj::stream_client>(running.loop);
            cj::stream_call request;
            request.address = address;
            request.target = "/";
            request.timeout = 5000ms;
            request.connect_time = 3000ms;
            request.may_reuse_connection = repeatable;
            request.stall_time = stall_time;
            client->gather(std::move(request),
                           [&](cj::stream_client::answer answer)
                           {
                               outcome = std::move(answer);
                               done = true;
                               done.notify_all();
                           });
        });
    done.wait(false);
    running.on_loop([&] { client.reset(); });
    return *outcome;
}

} // namespace

SCENARIO("a call reports how far it got", "[net]")
{
    using cj::stream_end;
    SECTION("a complete response with a length")
    {
        scripted_peer peer(
            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore"});
        const auto answer = call(peer.address);
        CHECK(answer.end == stream_end::whole);
        CHECK(answer.body == "ok");
    }
    SECTION("a response without a length is not known to be complete when its "
            "connection closes")
    {
        scripted_peer peer({"HTTP/1.1 200 OK\r\n\r\nall of it"});
        const auto answer = call(peer.address);
        CHECK(answer.end == stream_end::unframed);
        CHECK(answer.body == "all of it");
        CHECK_FALSE(answer.is(200));
        CHECK(answer.ended());
    }
    SECTION("a response without a body needs no length")
    {
        scripted_peer peer({"HTTP/1.1 204 No Content\r\n\r\n"});
        CHECK(call(peer.address).end == stream_end::whole);
    }
    SECTION("a response shorter than its length is reported as closed")
    {
        scripted_peer peer({"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"});
        CHECK(call(peer.address).end == stream_end::closed);
    }
    SECTION("a chunked response without its last chunk is reported as closed")
    {
        scripted_peer peer({"HTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"});
        CHECK(call(peer.address).end == stream_end::closed);
    }
    SECTION("bytes that are not HTTP are reported as malformed")
    {
        scripted_peer peer({"nonsense\r\n\r\n"});
        CHECK(call(peer.address).end == stream_end::malformed);
    }
    SECTION("a connection closed without a response is reported as closed")
    {
        scripted_peer peer({""});
        CHECK(call(peer.address).end == stream_end::closed);
    }
    SECTION("a refused connection is reported as not sent")
    {
        std::string address;
        {
            scripted_peer gone(std::vector<std::string>{});
            address = gone.address;
        }
        CHECK(call(address).end == stream_end::not_sent);
    }
}

SCENARIO("a call on a dead idle connection is resent on a new one", "[net]")
{
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_peer peer({response, response});
    loopback::running_loop running;
    std::unique_ptr<cj::stream_client> client;
    std::atomic<int> successes{0};
    const auto ask = [&](int number)
    {
        running.on_loop(
            [&]
            {
                if (!client)
                    client = std::make_unique<cj::stream_client>(running.loop);
                cj::stream_call request;
                request.address = peer.address;
                request.target = "/";
                request.may_reuse_connection = true;
                request.connect_time = 3000ms;
                client->gather(std::move(request),
                               [&](const cj::stream_client::answer& answer)
                               {
                                   successes += answer.is(200) ? 1 : 100;
                                   successes.notify_all();
                               });
            });
        successes.wait(number - 1);
    };
    ask(1);
    ask(2);
    CHECK(successes == 2);
    running.on_loop([&] { client.reset(); });
}

// A busy process found the connection and the end of the time for it in one
// turn of its loop, and ended the call that it had just written.
SCENARIO("a connection that was found up late is used", "[net]")
{
    scripted_peer peer({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"});
    loopback::running_loop running;
    std::unique_ptr<cj::stream_client> client;
    std::unique_ptr<loopback::stalled_loop> stalled;
    std::optional<cj::stream_client::answer> outcome;
    std::atomic<bool> done{false};
    running.on_loop(
        [&]
        {
            client = std::make_unique<cj::stream_client>(running.loop);
            cj::stream_call request;
            request.address = peer.address;
            request.target = "/";
            request.connect_time = 100ms;
            stalled = std::make_unique<loopback::stalled_loop>(running.loop);
            client->gather(std::move(request),
                           [&](cj::stream_client::answer answer)
                           {
                               outcome = std::move(answer);
                               done = true;
                               done.notify_all();
                           });
        });
    stalled->wait();
    std::this_thread::sleep_for(300ms);
    stalled->release();
    done.wait(false);
    CHECK(outcome->is(200));
    running.on_loop([&] { client.reset(); });
}

// A busy process read the reset of a stale connection late, and took it for a
// crash of the upstream.
SCENARIO("a stale connection is known when its reset is read late", "[net]")
{
    loopback::resetting_peer peer(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", {"ar"});
    loopback::running_loop running;
    std::unique_ptr<cj::stream_client> client;
    std::optional<cj::stream_end> end;
    std::atomic<int> ended{0};
    const auto start_call = [&]
    {
        cj::stream_call request;
        request.address = peer.address();
        request.target = "/";
        request.may_reuse_connection = true;
        cj::stream_client::callbacks to;
        to.head = [](const cj::stream_head&) {};
        to.data = [](std::string_view) {};
        to.ended = [&](cj::stream_end how, const std::string&)
        {
            end = how;
            ++ended;
        };
        client->start(std::move(request), std::move(to));
    };
    running.on_loop(
        [&]
        {
            running.loop.track_input_age();
            client = std::make_unique<cj::stream_client>(running.loop);
            start_call();
        });
    REQUIRE(loopback::becomes([&] { return ended == 1; }));
    std::this_thread::sleep_for(100ms);
    std::unique_ptr<loopback::stalled_loop> stalled;
    running.on_loop(
        [&]
        {
            start_call();
            stalled = std::make_unique<loopback::stalled_loop>(running.loop);
        });
    stalled->wait();
    std::this_thread::sleep_for(500ms);
    stalled->release();
    REQUIRE(loopback::becomes([&] { return ended == 2; }));
    running.on_loop([&] { client.reset(); });
    CHECK(end == cj::stream_end::stale);
}

SCENARIO("a call whose response is lost on a reused connection", "[net]")
{
    // The server reads the second call, so that a call that is sent again
    // without the caller's knowledge arrives twice.
    loopback::resetting_peer peer(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", {"ar"});
    loopback::running_loop running;
    std::unique_ptr<cj::stream_client> client;
    running.on_loop(
        [&] { client = std::make_unique<cj::stream_client>(running.loop); });
    const auto make_call = [](const std::string& address)
    {
        cj::stream_call request;
        request.address = address;
        request.target = "/";
        request.may_reuse_connection = true;
        request.connect_time = 3000ms;
        return request;
    };
    std::atomic<bool> done{false};
    cj::stream_end end{};
    const auto on_ended = [&](cj::stream_end how, const std::string&)
    {
        end = how;
        done = true;
        done.notify_all();
    };
    const auto start = [&]
    {
        done = false;
        running.on_loop(
            [&]
            {
                client->start(make_call(peer.address()),
                              {[](const cj::stream_head&) {},
                               [](std::string_view) {}, on_ended});
            });
        done.wait(false);
    };
    const auto gather = [&](const std::string& address)
    {
        done = false;
        running.on_loop(
            [&]
            {
                client->gather(make_call(address),
                               [&](const cj::stream_client::answer& answer)
                               { on_ended(answer.end, answer.why); });
            });
        done.wait(false);
    };

    SECTION("is reported to its caller and arrives once")
    {
        start();
        CHECK(end == cj::stream_end::whole);
        start();
        CHECK(end == cj::stream_end::stale);
        CHECK(peer.arrivals() == 2);
    }
    SECTION("is sent again if its response is gathered")
    {
        gather(peer.address());
        gather(peer.address());
        CHECK(end == cj::stream_end::whole);
        CHECK(peer.arrivals() == 3);
    }
    SECTION("is not sent a second time on a new connection")
    {
        loopback::resetting_peer lossy(
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", {"ar", "r"});
        gather(lossy.address());
        gather(lossy.address());
        CHECK(end == cj::stream_end::closed);
        CHECK(lossy.arrivals() == 3);
    }
    running.on_loop([&] { client.reset(); });
}

SCENARIO("an abandoned call resets its connection", "[net]")
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
                cj::stream_call request;
                request.address = peer.address;
                request.target = "/";
                request.timeout = limit;
                request.connect_time = 3000ms;
                id = client->gather(std::move(request),
                                    [](const cj::stream_client::answer&) {});
            });
        while (peer.arrivals().empty())
            std::this_thread::sleep_for(1ms);
    };
    SECTION("when it is cancelled")
    {
        ask(10'000ms);
        running.on_loop([&] { client->cancel(id); });
    }
    SECTION("when it times out")
    {
        ask(500ms);
    }
    peer.closed_by_caller.wait(false);
    CHECK(peer.reset_by_caller);
    running.on_loop([&] { client.reset(); });
}

SCENARIO("a stream client ends stalled calls but not slow ones", "[net]")
{
    constexpr auto stall_time = 1500ms;
    GIVEN("a response that takes twice the limit but never stalls")
    {
        const loopback::dripping_server server(15, 200ms, 15);
        const auto outcome = call(server.address(), false, stall_time);
        CHECK(outcome.is(200));
        CHECK(outcome.body.size() == 15);
    }
    GIVEN("a response that stalls after three bytes")
    {
        const loopback::dripping_server server(15, 20ms, 3);
        const auto outcome = call(server.address(), false, stall_time);
        CHECK(outcome.end == cj::stream_end::broken);
        CHECK(outcome.why == "call made no progress");
    }
    GIVEN("a server that sends nothing")
    {
        const loopback::dripping_server server(15, 20ms, 0);
        const auto outcome = call(server.address(), false, 300ms);
        CHECK(outcome.end == cj::stream_end::broken);
    }
}

SCENARIO("a probe reports whether a connection is refused", "[net]")
{
    const auto refused = [](const std::string& address)
    {
        loopback::running_loop running;
        std::unique_ptr<cj::stream_client> client;
        std::atomic<int> outcome{-1};
        running.on_loop(
            [&]
            {
                client = std::make_unique<cj::stream_client>(running.loop);
                client->probe(address,
                              [&](bool is)
                              {
                                  outcome = is ? 1 : 0;
                                  outcome.notify_all();
                              });
            });
        outcome.wait(-1);
        running.on_loop([&] { client.reset(); });
        return outcome == 1;
    };

    SECTION("a process listens on the port")
    {
        scripted_peer peer({"x"});
        CHECK_FALSE(refused(peer.address));
        CHECK(peer.arrivals().empty());
    }
    SECTION("no process listens any more")
    {
        std::string address;
        {
            scripted_peer peer({"x"});
            address = peer.address;
        }
        CHECK(refused(address));
    }
}
