#include <chrono>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "net/running_server.hpp"
#include "net/stalled_loop.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

// A busy server found the end of a head and the end of the head's time in one
// turn of its loop, and refused the request although its body had its own time.
SCENARIO("the time of a head does not end the wait for the body", "[net]")
{
    cj::stream_limits limits;
    limits.head_time = 200ms;
    loopback::running_server serving(
        [](const cj::stream_request& request, cj::stream_reply reply)
        { reply.send(200, {}, request.body); },
        limits);
    loopback::raw_connection caller(serving.port);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                "Content-Length: 4\r\n");
    std::this_thread::sleep_for(limits.head_time / 4);
    {
        loopback::stalled_loop stalled(serving.running.loop);
        stalled.wait();
        caller.send("\r\nbo");
        std::this_thread::sleep_for(2 * limits.head_time);
    }
    std::this_thread::sleep_for(limits.head_time / 4);
    caller.send("dy");
    const auto response = caller.drain();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("body"));
}
