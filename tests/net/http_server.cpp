#include "coursejunction/net/http_server.hpp"

#include <atomic>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/http_client.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief A blocking TCP connection to a port of 127.0.0.1. */
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port)
        : file(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connected = ::connect(file, reinterpret_cast<const sockaddr*>(&to),
                              sizeof(to)) == 0;
    }

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection() { ::close(file); }

    void send(const std::string& bytes) const
    {
        const auto done =
            ::send(file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        static_cast<void>(done);
    }

    /*! @brief Reads until the peer closes. */
    std::string drain() const
    {
        std::string all;
        char part[4096];
        for (auto count = ::recv(file, part, sizeof(part), 0); count > 0;
             count = ::recv(file, part, sizeof(part), 0))
            all.append(part, static_cast<std::size_t>(count));
        return all;
    }

    /*! @brief Returns the bytes that arrive next; empty once the peer closed.
     */
    std::string receive() const
    {
        char part[4096];
        const auto count = ::recv(file, part, sizeof(part), 0);
        return {part, count > 0 ? static_cast<std::size_t>(count) : 0};
    }

    bool connected{false};

private:
    int file;
};

std::unique_ptr<cj::http_server> serve(const cj::http_options& options,
                                       cj::http_server::handler handle)
{
    auto made =
        cj::http_server::create("127.0.0.1", 0, options, std::move(handle));
    REQUIRE(made);
    return std::move(made.value());
}

std::string url(const cj::http_server& server)
{
    return "http://127.0.0.1:" + std::to_string(server.port());
}

} // namespace

SCENARIO("an HTTP server accepts responses from any thread", "[net]")
{
    GIVEN("a server with a short time limit for requests")
    {
        // Less than half the duration of a response (2500 ms). On a busy
        // machine a few hundred ms can pass between connecting and sending.
        cj::http_options options;
        options.head_limit = 1000ms;
        std::vector<std::thread> threads;
        auto server = serve(options,
                            [&](const cj::http_request& request,
                                const std::shared_ptr<cj::http_reply>& reply)
                            {
                                threads.emplace_back(
                                    [reply, path = request.path]
                                    {
                                        if (path == "/whole")
                                        {
                                            std::this_thread::sleep_for(2500ms);
                                            return reply->send(
                                                200, "text/plain", {}, "late");
                                        }
                                        reply->begin(200, "text/plain", {});
                                        for (int at = 0; at < 25; ++at)
                                        {
                                            reply->write("x");
                                            std::this_thread::sleep_for(100ms);
                                        }
                                        if (path == "/cut")
                                            return reply->cut();
                                        reply->finish();
                                    });
                            });

        WHEN("a response takes longer than that limit")
        {
            const auto end = cj::perform({"GET", url(*server) + "/whole"});
            THEN("it is still received completely")
            {
                CAPTURE(end.fault);
                CHECK(end.status == 200);
                CHECK(end.body == "late");
            }
        }
        WHEN("a streamed response takes longer than that limit")
        {
            const auto end = cj::perform({"GET", url(*server) + "/stream"});
            THEN("it is still received completely")
            {
                CHECK(end.reach == cj::http_reach::answered);
                CHECK(end.body == std::string(25, 'x'));
            }
        }
        WHEN("a streamed response is aborted")
        {
            const auto end = cj::perform({"GET", url(*server) + "/cut"});
            THEN("the client sees that it is incomplete")
            {
                CHECK(end.reach == cj::http_reach::interrupted);
            }
        }
        WHEN("a client sends half a head and then nothing")
        {
            const raw_connection slow(server->port());
            REQUIRE(slow.connected);
            slow.send("GET /whole HTTP/1.1\r\nHost: x\r\nX-Half");
            THEN("the server closes the connection")
            {
                // Returns only after the server has closed the connection.
                const auto answer = slow.drain();
                CHECK(answer.find("200 OK") == std::string::npos);
            }
        }
        for (auto& one : threads)
            one.join();
    }

    GIVEN("a server with a short time limit that answers at once")
    {
        cj::http_options options;
        options.head_limit = 1000ms;
        auto server =
            serve(options, [](const cj::http_request&,
                              const std::shared_ptr<cj::http_reply>& reply)
                  { reply->send(200, "text/plain", {}, "ok"); });
        WHEN("a client uses one connection for longer than that limit")
        {
            const raw_connection kept(server->port());
            REQUIRE(kept.connected);
            constexpr int requests = 30;
            int answered = 0;
            for (int at = 0; at < requests; ++at)
            {
                kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                if (kept.receive().find("200 OK") != std::string::npos)
                    ++answered;
                std::this_thread::sleep_for(100ms);
            }
            THEN("each of its requests is answered")
            {
                CHECK(answered == requests);
            }
        }
    }

    GIVEN("a server with a small limit on request size")
    {
        cj::http_options options;
        options.max_request_bytes = 4096;
        std::atomic<int> handled{0};
        auto server = serve(options,
                            [&](const cj::http_request&,
                                const std::shared_ptr<cj::http_reply>& reply)
                            {
                                ++handled;
                                reply->send(200, "text/plain", {}, "ok");
                            });
        WHEN("a body is too large")
        {
            cj::http_call call{"POST", url(*server) + "/"};
            call.body = std::string(100'000, 'a');
            const auto end = cj::perform(call);
            THEN("it is rejected and the server still works")
            {
                CHECK_FALSE(end.ok());
                CHECK(handled == 0);
                CHECK(cj::perform({"GET", url(*server) + "/"}).ok());
            }
        }
        WHEN("a head is not HTTP")
        {
            const raw_connection invalid(server->port());
            invalid.send(std::string(3000, '\x01') + "\r\n\r\n");
            THEN("the server still works")
            {
                CHECK(cj::perform({"GET", url(*server) + "/"}).ok());
            }
        }
    }

    GIVEN("clients that disconnect just before their responses")
    {
        std::mutex mutex;
        std::vector<std::pair<std::string, std::shared_ptr<cj::http_reply>>>
            open_replies;
        auto server = serve({},
                            [&](const cj::http_request& request,
                                const std::shared_ptr<cj::http_reply>& reply)
                            {
                                const std::lock_guard guard(mutex);
                                open_replies.emplace_back(request.path, reply);
                            });
        const auto wait_for_open = [&](std::size_t count)
        {
            while (true)
            {
                {
                    const std::lock_guard guard(mutex);
                    if (open_replies.size() >= count)
                        return;
                }
                std::this_thread::sleep_for(1ms);
            }
        };
        constexpr int disconnecting_clients = 100;
        for (int at = 0; at < disconnecting_clients; ++at)
        {
            const raw_connection disconnecting(server->port());
            disconnecting.send("GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
            wait_for_open(static_cast<std::size_t>(at) + 1);
        }
        std::thread responder(
            [&]
            {
                wait_for_open(disconnecting_clients + 1);
                for (auto& [path, reply] : open_replies)
                    reply->send(200, "text/plain", {}, path);
            });
        const auto end = cj::perform({"GET", url(*server) + "/mine"});
        responder.join();
        THEN("a client that stays gets its own response")
        {
            CHECK(end.body == "/mine");
        }
    }
}
