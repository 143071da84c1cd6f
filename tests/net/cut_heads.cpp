#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/http_client.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "net/loopback.hpp"
#include "net/resetting_peer.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                 "ok";

/*! @brief Heads that end in the status line, in a field, before the blank line
 * and after an interim response, for each framing. */
const std::vector<std::string> cut_heads{
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nContent-Le",
    "HTTP/1.1 200 OK\r\nContent-Length: 1",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-"};

/*! @brief Runs one call after the other with a client of each kind.
 * @param start Starts a call; calls its argument at the end with the result. */
template <typename Client, typename Result, typename Start>
std::vector<Result> run_calls(std::size_t count, Start start)
{
    loopback::running_loop running;
    std::unique_ptr<Client> client;
    running.on_loop([&] { client = std::make_unique<Client>(running.loop); });
    std::vector<Result> results;
    for (std::size_t made = 0; made < count; ++made)
    {
        std::atomic<bool> done{false};
        running.on_loop(
            [&]
            {
                start(*client,
                      [&](Result result)
                      {
                          results.push_back(std::move(result));
                          done = true;
                          done.notify_all();
                      });
            });
        done.wait(false);
    }
    running.on_loop([&] { client.reset(); });
    return results;
}

std::vector<cj::http_result> http_calls(const std::string& address,
                                        std::size_t count)
{
    return run_calls<cj::http_client, cj::http_result>(
        count,
        [&](cj::http_client& client, auto done)
        {
            cj::http_call call;
            call.url = "http://" + address + "/";
            call.timeout = 5000ms;
            client.start(std::move(call), done);
        });
}

std::vector<cj::stream_client::answer> stream_calls(const std::string& address,
                                                    std::size_t count)
{
    return run_calls<cj::stream_client, cj::stream_client::answer>(
        count,
        [&](cj::stream_client& client, auto done)
        {
            cj::stream_call call;
            call.address = address;
            call.method = "GET";
            call.target = "/";
            call.timeout = 5000ms;
            call.may_reuse_connection = true;
            client.gather(std::move(call), done);
        });
}

} // namespace

// A peer that stops within the head of its response left a status of 200 and an
// empty body, which counted as a whole response.
SCENARIO("a response whose head is cut is not complete", "[net]")
{
    const auto& head = GENERATE(from_range(cut_heads));
    const auto* const how = GENERATE("c", "x");
    const std::string before = GENERATE("", "a");
    INFO("head " << head << ", end " << how << ", responses before "
                 << before.size());
    loopback::resetting_peer peer(whole_answer, {before + how, how}, head);
    SECTION("for the HTTP client")
    {
        const auto results = http_calls(peer.address(), before.size() + 1);
        CHECK(results.back().reach == cj::http_reach::interrupted);
        CHECK_FALSE(results.back().ok());
    }
    SECTION("for the stream client")
    {
        const auto results = stream_calls(peer.address(), before.size() + 1);
        CHECK_FALSE(results.back().ended());
        CHECK(results.back().end != cj::stream_end::stale);
        CHECK(peer.arrivals() == before.size() + 1);
    }
}

SCENARIO("a response after an interim one is the response", "[net]")
{
    const std::string interim =
        GENERATE("HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n"
                                                  "Link: x\r\n\r\n");
    loopback::resetting_peer peer(interim + interim + whole_answer, {"aa"});
    SECTION("for the HTTP client")
    {
        for (const auto& result : http_calls(peer.address(), 2))
        {
            CHECK(result.ok());
            CHECK(result.body == "ok");
        }
    }
    SECTION("for the stream client")
    {
        for (const auto& result : stream_calls(peer.address(), 2))
        {
            CHECK(result.is(200));
            CHECK(result.body == "ok");
        }
    }
}
