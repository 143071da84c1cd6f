#include "platform/engine_client.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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

namespace
{

using offer = cj::result<cj::offered_version>;

/*! @brief What an origin is asked, and what its answer is read as. */
struct inquiry_outcome
{
    std::optional<offer> read;
    std::string question; /*!< The first, as it came. */
    std::size_t questions{0};
};

/*! @brief Asks an origin that gives these bytes for the newest version. */
inquiry_outcome newest_of(const std::string& bytes)
{
    loopback::running_loop running;
    loopback::scripted_peer origin({bytes});
    std::unique_ptr<cj::stream_client> client;
    std::unique_ptr<cj::platform::origin_client> calls;
    inquiry_outcome made;
    std::atomic<bool> done{false};
    running.on_loop(
        [&]
        {
            client = std::make_unique<cj::stream_client>(running.loop);
            calls = std::make_unique<cj::platform::origin_client>(*client);
            calls->newest(origin.address, "tutor",
                          [&](offer told)
                          {
                              made.read.emplace(std::move(told));
                              done = true;
                              done.notify_all();
                          });
        });
    done.wait(false);
    running.on_loop([&] { client.reset(); });
    const auto arrivals = origin.arrivals();
    made.questions = arrivals.size();
    made.question = arrivals.empty() ? "" : arrivals.front();
    return made;
}

std::string answer_of(const std::string& head, const std::string& body)
{
    return "HTTP/1.1 " + head +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/*! @brief Returns an origin's manifest with one field in the place of its. */
std::string manifest_with(const std::string& field, const std::string& value)
{
    std::map<std::string, std::string> fields{{"modelId", R"("tutor")"},
                                              {"version", "3"},
                                              {"blockBytes", "32768"},
                                              {"hashes", R"(["a","b"])"}};
    if (value.empty())
        fields.erase(field);
    else
        fields[field] = value;
    std::string made;
    for (const auto& [name, text] : fields)
        made += (made.empty() ? "{\"" : ",\"") + name + "\":" + text;
    return made + "}";
}

} // namespace

SCENARIO("an origin tells the newest version that was named", "[platform]")
{
    const auto body = manifest_with("version", "3");
    const auto seen = newest_of(answer_of("200 OK", body));
    REQUIRE(seen.read);
    REQUIRE(*seen.read);
    CHECK(seen.read->value().version == 3);
    CHECK(seen.read->value().chunks == 2);
    CHECK(seen.read->value().chunk_bytes == 32768);
    CHECK(seen.read->value().answer_bytes == body.size());
    THEN("it was asked for no version of its own")
    {
        CHECK(seen.question.starts_with("GET /manifest/tutor HTTP/1.1\r\n"));
        CHECK(seen.questions == 1);
    }
}

SCENARIO("an origin's answer that tells no version is none", "[platform]")
{
    const auto fails_as = [](const std::string& bytes)
    {
        const auto seen = newest_of(bytes);
        REQUIRE(seen.read);
        REQUIRE_FALSE(*seen.read);
        CHECK_FALSE(seen.read->error().message.empty());
        return seen.read->error().kind;
    };
    const auto whole = manifest_with("version", "3");

    SECTION("another status")
    {
        for (const auto* head : {"410 Gone", "404 Not Found", "500 Broken",
                                 "503 Busy", "206 Partial Content"})
        {
            INFO(head);
            CHECK(fails_as(answer_of(head, whole)) ==
                  cj::error_kind::unavailable);
        }
    }
    SECTION("a redirect, which is not followed")
    {
        loopback::scripted_peer elsewhere({answer_of("200 OK", whole)});
        CHECK(fails_as(answer_of("302 Found\r\nLocation: http://" +
                                     elsewhere.address + "/manifest/tutor",
                                 "")) == cj::error_kind::unavailable);
        CHECK(elsewhere.arrivals().empty());
    }
    SECTION("no answer, or half of one")
    {
        CHECK(fails_as("") == cj::error_kind::unavailable);
        auto half = answer_of("200 OK", whole);
        half.resize(half.size() - 10);
        CHECK(fails_as(half) == cj::error_kind::unavailable);
    }
    SECTION("what is no manifest")
    {
        for (const std::string wrong :
             {"", "what", "{", "[]", "[3]", "3", "null", "{}", "\"tutor\""})
        {
            INFO(wrong);
            CHECK(fails_as(answer_of("200 OK", wrong)) ==
                  cj::error_kind::refused);
        }
        CHECK(fails_as(answer_of("200 OK", whole.substr(0, 20))) ==
              cj::error_kind::refused);
        CHECK(fails_as(answer_of("200 OK", std::string(5000, '['))) ==
              cj::error_kind::refused);
    }
    SECTION("a field that is missing or cannot be")
    {
        const std::vector<std::pair<std::string, std::vector<std::string>>>
            wrong{{"modelId", {"", R"("other")", "3", "null"}},
                  {"version",
                   {"", "-1", "1.5", R"("3")", "null", "[]", "1e300", "true",
                    "18446744073709551616"}},
                  {"blockBytes",
                   {"", "-32768", "32768.5", R"("32768")", "null", "1e300"}},
                  {"hashes", {"", "null", "3", R"("ab")", "{}"}}};
        for (const auto& [field, values] : wrong)
        {
            for (const auto& value : values)
            {
                INFO(field << ": " << value);
                CHECK(fails_as(
                          answer_of("200 OK", manifest_with(field, value))) ==
                      cj::error_kind::refused);
            }
        }
    }
}
