#include <atomic>
#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "coursejunction/net/http_client.hpp"
#include "coursejunction/net/http_server.hpp"
#include "net/loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using loopback::raw_connection;

namespace
{

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

const std::string refusal = "HTTP/1.1 431 Request Header Fields Too Large\r\n"
                            "Connection: close\r\nContent-Length: 0\r\n\r\n";

/*! @brief Starts a server that answers with the path and the size of the body.
 */
std::unique_ptr<cj::http_server> serve(const cj::http_options& options)
{
    auto made = cj::http_server::create(
        "127.0.0.1", 0, options,
        [](const cj::http_request& request,
           const std::shared_ptr<cj::http_reply>& reply)
        {
            reply->send(200, "text/plain", {},
                        request.path + " " +
                            std::to_string(request.body.size()) + ".");
        });
    REQUIRE(made);
    return std::move(made.value());
}

std::string repeated(const std::string& text, std::size_t times)
{
    std::string all;
    for (std::size_t at = 0; at < times; ++at)
        all += text;
    return all;
}

/*! @brief Returns a whole head of a given size. */
std::string head_of(std::size_t size, const std::string& path = "/head")
{
    const std::string begin =
        "GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Long: ";
    const std::string end = "\r\n\r\n";
    return begin + std::string(size - begin.size() - end.size(), 'a') + end;
}

/*! @brief Sends a head and measures how long another call takes meanwhile. */
struct large_head
{
    large_head(const cj::http_server& server, const std::string& head)
        : caller(server.port())
    {
        REQUIRE(caller.open);
        std::thread sender([&] { caller.send(head); });
        // Time for the server to begin with the head.
        std::this_thread::sleep_for(100ms);
        const auto begin = std::chrono::steady_clock::now();
        raw_connection other(server.port());
        other.send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n");
        other_answer = other.until("/other 0.");
        other_took = std::chrono::steady_clock::now() - begin;
        sender.join();
        answer = caller.drain();
    }

    raw_connection caller;
    std::string answer;
    std::string other_answer;
    std::chrono::steady_clock::duration other_took{};
};

/*! @brief Requires that a head was refused and that the other call was not
 * delayed. */
void check_refused(const large_head& sent)
{
    CAPTURE(sent.answer.substr(0, 200), sent.other_took.count());
    CHECK(contains(sent.other_answer, "/other 0."));
    CHECK(sent.other_took < 1s);
    const bool refused = sent.answer == refusal ||
                         (sent.answer.empty() && sent.caller.was_reset);
    CHECK(refused);
}

/*! @brief Sends parts with a pause behind each, so that the server receives
 * most of them one by one.
 * @return All bytes received until a text, or until the server closes. */
std::string exchange(const cj::http_server& server,
                     const std::vector<std::string>& parts,
                     const std::string& last)
{
    raw_connection caller(server.port());
    for (const auto& part : parts)
    {
        caller.send(part);
        std::this_thread::sleep_for(2ms);
    }
    return caller.until(last);
}

/*! @brief Sends parts on one connection, each once the answer to the one before
 * was received.
 * @return All bytes received. */
std::string
converse(const cj::http_server& server,
         const std::vector<std::pair<std::string, std::string>>& steps)
{
    raw_connection caller(server.port());
    std::string all;
    for (const auto& [part, answer] : steps)
    {
        caller.send(part);
        all = caller.until(answer);
    }
    return all;
}

/*! @brief Returns parts of a text of a given size each. */
std::vector<std::string> split(const std::string& text, std::size_t size)
{
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < text.size(); at += size)
        parts.push_back(text.substr(at, size));
    return parts;
}

} // namespace

// Guards against a head that occupies the server's only thread: Pistache parses
// an incomplete head anew with each 4 KiB.
SCENARIO("a head that is too large does not delay other callers", "[net]")
{
    GIVEN("a server")
    {
        const auto server = serve({});
        WHEN("a client sends a target of 3 MB")
        {
            const large_head sent(*server, "GET /" +
                                               std::string(3'000'000, 'a') +
                                               " HTTP/1.1\r\n\r\n");
            THEN("another call is answered and the head is refused")
            {
                check_refused(sent);
            }
        }
        WHEN("a client sends 2.4 MB of header fields")
        {
            const large_head sent(*server, "GET / HTTP/1.1\r\n" +
                                               repeated("X: y\r\n", 400'000) +
                                               "\r\n");
            THEN("another call is answered and the head is refused")
            {
                check_refused(sent);
            }
        }
    }
}

SCENARIO("a head is served up to the bound and refused beyond it", "[net]")
{
    GIVEN("a server with the usual bound")
    {
        const cj::http_options options;
        const auto server = serve(options);
        const auto bound = options.max_head_bytes;
        WHEN("a head has exactly the size of the bound")
        {
            THEN("it is served, in one part or in parts of a packet's size")
            {
                const auto head = head_of(bound);
                CHECK(contains(exchange(*server, {head}, "0."), "/head 0."));
                CHECK(contains(exchange(*server, split(head, 1448), "0."),
                               "/head 0."));
            }
        }
        WHEN("a head is one byte larger")
        {
            THEN("it is refused and its connection is closed")
            {
                raw_connection caller(server->port());
                caller.send(head_of(bound + 1));
                CHECK(caller.drain() == refusal);
                CHECK_FALSE(caller.was_reset);
            }
        }
        WHEN("a large body follows a small head")
        {
            const std::string body(1'000'000, 'b');
            const std::string begin = "POST /body HTTP/1.1\r\n";
            THEN("it is served with a length and in chunks")
            {
                CHECK(contains(
                    exchange(*server,
                             {begin + "Content-Length: 1000000\r\n\r\n" + body},
                             "00."),
                    "/body 1000000."));
                CHECK(contains(
                    exchange(*server,
                             {begin + "Transfer-Encoding: chunked\r\n\r\n",
                              "f4240\r\n" + body + "\r\n", "0\r\n\r\n"},
                             "00."),
                    "/body 1000000."));
            }
        }
        WHEN("a client sends heads of half the bound on one connection")
        {
            raw_connection caller(server->port());
            std::string answers;
            for (std::size_t at = 1; at <= 4; ++at)
            {
                caller.send(head_of(bound / 2, "/" + std::to_string(at)));
                answers = caller.until("/" + std::to_string(at) + " 0.");
            }
            THEN("each is counted alone")
            {
                for (int at = 1; at <= 4; ++at)
                    CHECK(contains(answers, "/" + std::to_string(at) + " 0."));
            }
        }
    }
    GIVEN("a server with a small bound")
    {
        cj::http_options options;
        options.max_head_bytes = 400;
        const auto server = serve(options);
        WHEN("a head comes byte by byte")
        {
            THEN("it is served up to the bound")
            {
                CHECK(contains(exchange(*server, split(head_of(400), 1), "0."),
                               "/head 0."));
            }
        }
        WHEN("the head's end is within the bound and a body follows")
        {
            THEN("the body does not count")
            {
                CHECK(contains(exchange(*server,
                                        {"POST /body HTTP/1.1\r\n"
                                         "Content-Length: 500\r\n\r",
                                         "\n" + std::string(500, 'b')},
                                        "500."),
                               "/body 500."));
            }
        }
        WHEN("a head has empty lines that do not end it")
        {
            // Pistache reads on at an empty line behind a line without a colon.
            THEN("it is refused")
            {
                CHECK(exchange(*server,
                               split("GET / HTTP/1.1\r\n" +
                                         repeated("a\r\n\r\n", 4000),
                                     1000),
                               refusal) == refusal);
            }
        }
        WHEN("a client sends on without end after the refusal")
        {
            raw_connection caller(server->port());
            const std::string part(std::size_t{1} << 20U, 'a');
            for (int at = 0; at < 64 && !caller.was_reset; ++at)
                caller.send(part);
            THEN("its connection is cut")
            {
                CHECK(caller.was_reset);
            }
        }
    }
    GIVEN("a server whose response is still open")
    {
        std::shared_ptr<cj::http_reply> open_reply;
        std::atomic<bool> closed{false};
        cj::http_options options;
        auto made = cj::http_server::create(
            "127.0.0.1", 0, options,
            [&](const cj::http_request&,
                const std::shared_ptr<cj::http_reply>& reply)
            {
                reply->on_disconnect([&] { closed = true; });
                open_reply = reply;
                reply->begin(200, "text/plain", {});
                reply->write("first");
            });
        REQUIRE(made);
        WHEN("a head that is too large follows on the connection")
        {
            raw_connection caller(made.value()->port());
            caller.send("GET / HTTP/1.1\r\n\r\n");
            static_cast<void>(caller.until("first"));
            caller.send(head_of(options.max_head_bytes + 1));
            THEN("the connection is closed and no 431 is put into the response")
            {
                const auto all = caller.drain();
                for (int at = 0; at < 1000 && !closed; ++at)
                    std::this_thread::sleep_for(1ms);
                CHECK(closed);
                CHECK(contains(all, "first"));
                CHECK_FALSE(contains(all, "431"));
            }
        }
    }
}

// The server handles the input in place of Pistache's own code; the answers
// here were recorded with that code.
SCENARIO("requests are answered as by Pistache", "[net]")
{
    GIVEN("a server")
    {
        const auto server = serve({});
        const std::string get = " HTTP/1.1\r\nHost: x\r\n\r\n";
        WHEN("two requests come in one part")
        {
            const auto all = converse(
                *server, {{"GET /one" + get + "GET /two" + get, "/one 0."},
                          {"GET /three" + get, "/three 0."}});
            THEN("the first is served, and the next part after it")
            {
                CHECK(contains(all, "/one 0."));
                CHECK_FALSE(contains(all, "/two"));
                CHECK(contains(all, "/three 0."));
            }
        }
        WHEN("two requests come in two parts")
        {
            const auto all = converse(*server, {{"GET /one" + get, "/one 0."},
                                                {"GET /two" + get, "/two 0."}});
            THEN("both are served")
            {
                CHECK(contains(all, "/one 0."));
                CHECK(contains(all, "/two 0."));
            }
        }
        WHEN("a request is malformed")
        {
            struct answered
            {
                std::string request;
                std::string status;
                std::string body;
            };
            const std::string post = "POST / HTTP/1.1\r\n";
            const std::vector<answered> answers{
                {"GARB /", "400 Bad Request", "Unknown HTTP request method"},
                {"\r\nGET /" + get, "400 Bad Request",
                 "Unknown HTTP request method"},
                {"GET / HTTP/9.9\r\n\r\n", "400 Bad Request",
                 "Encountered invalid HTTP version"},
                {post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
                 "400 Bad Request", "Invalid chunk size"},
                {post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n"
                        "\r\nabc",
                 "400 Bad Request",
                 "Got mutually exclusive ContentLength and TransferEncoding "
                 "header"},
                {post + "Transfer-Encoding: gzip\r\n\r\nabc",
                 "501 Not Implemented", "Unsupported Transfer-Encoding"},
                {post + "Content-Type: zz\r\nContent-Length: 2\r\n\r\nab",
                 "415 Unsupported Media Type", "Unknown Media Type"},
                {"GET / HTTP/1.1\r\nHost: x:99999999\r\n\r\n",
                 "500 Internal Server Error", "Invalid port: 99999999"},
                {post + "Content-Length: 99999999999999999999999\r\n\r\na",
                 "500 Internal Server Error", "stoull"},
                {post + "Content-Length: 2000000\r\n\r\n" +
                     std::string(1'100'000, '\n'),
                 "413 Request Entity Too Large",
                 "Request exceeded maximum buffer size"},
            };
            THEN("the answer has the parser's status and reason")
            {
                for (const auto& [request, status, body] : answers)
                    CHECK(contains(
                        exchange(*server, {request}, body),
                        "HTTP/1.1 " + status + "\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body));
            }
            THEN("the connection serves the request that follows")
            {
                const auto all =
                    converse(*server, {{"GARB /", "request method"},
                                       {"GET /next" + get, "/next 0."}});
                CHECK(contains(all, "/next 0."));
            }
        }
        WHEN("the handler throws")
        {
            auto made = cj::http_server::create(
                "127.0.0.1", 0, {},
                [](const cj::http_request&,
                   const std::shared_ptr<cj::http_reply>&)
                { throw std::runtime_error("thrown"); });
            REQUIRE(made);
            THEN("the answer is 500 with the reason")
            {
                CHECK(exchange(*made.value(), {"GET /" + get}, "thrown") ==
                      "HTTP/1.1 500 Internal Server Error\r\n"
                      "Content-Length: 6\r\n\r\nthrown");
            }
        }
    }
}
