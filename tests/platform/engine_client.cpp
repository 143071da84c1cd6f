#include "platform/engine_client.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

#include <catch2/catch.hpp>

#include "coursejunction/net/stream_server.hpp"
#include "net/loopback.hpp"
#include "net/narrow_link.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief An origin whose link all open calls share evenly. */
class shared_origin
{
public:
    /*! @brief Chunks that the link carries in a second: 32 KiB take 27 ms on
     * 9.9 Mbit/s. */
    static constexpr double link_rate = 37;

    static constexpr std::size_t chunk_bytes = 32768;
    static constexpr std::size_t parts = 16;

    /*! @param gives Parts of a chunk before it falls silent. */
    shared_origin(cj::event_loop& loop, std::size_t gives)
        : link(loop, link_rate * parts), most(gives)
    {
        auto made = cj::stream_server::create(
            loop, "127.0.0.1", 0, {},
            [this](const cj::stream_request&, cj::stream_reply reply)
            { give(std::move(reply)); });
        server = std::move(made.value());
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server->port());
    }

private:
    struct answer
    {
        cj::stream_reply reply;
        std::size_t given{0};
        bool left{false};
    };

    void give(cj::stream_reply reply)
    {
        const auto one = std::make_shared<answer>();
        one->reply = std::move(reply);
        one->reply.on_left([one] { one->left = true; });
        one->reply.begin(200, {});
        next(one);
    }

    void next(const std::shared_ptr<answer>& one)
    {
        if (one->left || one->given == most)
            return;
        link.carry(
            [this, one]
            {
                one->reply.write(std::string(chunk_bytes / parts, 'x'));
                if (++one->given == parts)
                    return one->reply.finish();
                next(one);
            });
    }

    loopback::narrow_link link;
    std::size_t most;
    std::unique_ptr<cj::stream_server> server;
};

/*! @brief Chunks that came whole, of some asked for at the same moment. */
struct outcome
{
    std::size_t whole{0};
    std::size_t failed{0};
};

outcome fetch(std::size_t count, std::size_t parts, cj::milliseconds patience)
{
    loopback::running_loop running;
    std::optional<shared_origin> at;
    std::optional<cj::stream_client> carrier;
    std::optional<cj::platform::origin_client> origin;
    outcome seen;
    running.on_loop(
        [&]
        {
            at.emplace(running.loop, parts);
            carrier.emplace(running.loop);
            origin.emplace(*carrier);
            for (cj::chunk_index chunk = 0; chunk < count; ++chunk)
                origin->chunk(at->address(), {"tutor", 2}, chunk,
                              [&](const cj::result<std::string>& bytes)
                              { ++(bytes ? seen.whole : seen.failed); });
        });
    const auto until = cj::event_loop::now() + patience;
    for (std::size_t ended = 0; ended < count && cj::event_loop::now() < until;)
    {
        std::this_thread::sleep_for(20ms);
        running.on_loop([&] { ended = seen.whole + seen.failed; });
    }
    running.on_loop(
        [&]
        {
            carrier.reset();
            at.reset();
        });
    running.stop();
    return seen;
}

} // namespace

// Many sides ask the origin for a chunk each, at the same moment. Its link
// carries them all in 4.3 s, a little of each at a time. If every call were
// given up after 3 s, nearly whole, not one chunk would have come, and all
// would begin again from nothing: the link full, and nobody any further.
SCENARIO("a chunk that keeps coming is not given up", "[platform]")
{
    constexpr std::size_t count = 160;
    GIVEN("more calls than the link can end in the time of one")
    {
        const auto seen = fetch(count, shared_origin::parts, 15'000ms);
        THEN("every chunk comes whole")
        {
            CHECK(seen.whole == count);
            CHECK(seen.failed == 0);
        }
    }
    GIVEN("an origin that falls silent half-way")
    {
        const auto seen = fetch(1, shared_origin::parts / 2, 6000ms);
        THEN("the call ends all the same")
        {
            CHECK(seen.failed == 1);
        }
    }
}

namespace
{

/*! @brief Returns what an engine's report is read as. */
cj::result<cj::engine_report> read_report_of(const std::string& body)
{
    loopback::running_loop running;
    loopback::scripted_peer engine(
        {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body});
    std::unique_ptr<cj::stream_client> client;
    std::unique_ptr<cj::platform::engine_client> calls;
    std::optional<cj::result<cj::engine_report>> told;
    std::atomic<bool> done{false};
    running.on_loop(
        [&]
        {
            client = std::make_unique<cj::stream_client>(running.loop);
            calls = std::make_unique<cj::platform::engine_client>(
                *client, engine.address);
            calls->report(
                [&](cj::result<cj::engine_report> read)
                {
                    told.emplace(std::move(read));
                    done = true;
                    done.notify_all();
                });
        });
    done.wait(false);
    running.on_loop([&] { client.reset(); });
    return std::move(*told);
}

} // namespace

SCENARIO("an engine tells which life of it speaks", "[platform]")
{
    const auto read = read_report_of(
        R"({"born":1764720000123,"sequence":2,"active":3,"queued":1})");
    REQUIRE(read);
    CHECK(read.value().life.value() == 1764720000123);
    CHECK(read.value().sequence == 2);
    CHECK(read.value().running == 3);

    THEN("a report without one is read all the same")
    {
        CHECK(read_report_of(R"({"sequence":2})").value().life.empty());
    }
    THEN("one that is no whole number, or no report at all, is not")
    {
        for (const auto* wrong :
             {R"({"born":1.5})", R"({"born":-5})", R"({"born":"1764"})",
              R"({"born":null})", R"({"sequence":-1})", "[]", "what"})
        {
            INFO(wrong);
            CHECK_FALSE(read_report_of(wrong));
        }
    }
}
