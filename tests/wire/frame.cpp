#include "coursejunction/wire/frame.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

namespace
{

cj::key_ring ring(char fill = 'k')
{
    cj::key_ring made;
    made.keys[1] = std::string(32, fill);
    made.active = 1;
    return made;
}

} // namespace

SCENARIO("frames are authenticated, numbered and limited in size", "[wire]")
{
    cj::frame_sealer sealer(ring());
    cj::frame_opener opener(ring());
    const auto first = sealer.seal(cj::frame_type::report, "head", "payload");

    GIVEN("a frame that is received in two parts")
    {
        opener.append(first.substr(0, 30));
        auto early = opener.next();
        REQUIRE(early);
        CHECK_FALSE(early.value());
        opener.append(first.substr(30));
        auto whole = opener.next();
        REQUIRE(whole);
        REQUIRE(whole.value());
        CHECK(whole.value()->head == "head");
        CHECK(whole.value()->payload == "payload");

        WHEN("it is replayed")
        {
            opener.append(first);
            THEN("it is refused")
            {
                CHECK_FALSE(opener.next());
            }
        }
    }
    GIVEN("a frame that is sealed with another key")
    {
        cj::frame_opener other(ring('x'));
        other.append(first);
        CHECK_FALSE(other.next());
    }
    GIVEN("a frame of another protocol version")
    {
        auto changed = first;
        changed[2] = 9;
        opener.append(changed);
        const auto read = opener.next();
        REQUIRE_FALSE(read);
        CHECK(read.error().message.find("protocol version 9") !=
              std::string::npos);
    }
    GIVEN("a prefix with a length above the limit")
    {
        auto changed = first.substr(0, cj::frame_prefix_bytes);
        changed[11] = '\x7f';
        opener.append(changed);
        THEN("it is refused before the rest is received")
        {
            CHECK_FALSE(opener.next());
        }
    }
    GIVEN("a payload that the authentication code does not cover")
    {
        THEN("it is refused for all frames but chunks")
        {
            opener.append(sealer.seal(cj::frame_type::report, "h", "p", true));
            CHECK_FALSE(opener.next());
        }
    }
    GIVEN("a session key")
    {
        const auto key = cj::session_key("shared", "one", "two", "client");
        CHECK(key != cj::session_key("shared", "one", "two", "server"));
        CHECK(key != cj::session_key("shared", "one", "three", "client"));
        sealer.use_session_key(key);
        opener.append(first);
        REQUIRE(opener.next().value());
        opener.append(sealer.seal(cj::frame_type::report, "secret"));
        THEN("an opener with the shared key refuses it")
        {
            CHECK_FALSE(opener.next());
        }
    }
    GIVEN("a datagram")
    {
        const auto bytes =
            cj::seal_datagram(ring(), cj::frame_type::heartbeat, "beat");
        CHECK(cj::open_datagram(ring(), bytes).value().head == "beat");
        CHECK_FALSE(cj::open_datagram(ring(), bytes.substr(1)));
        CHECK_FALSE(cj::open_datagram(ring(), bytes + "x"));
        CHECK_FALSE(cj::open_datagram(ring(), ""));
    }
}

TEST_CASE("an altered frame is never opened", "[wire]")
{
    rc::prop("any flipped bit",
             [](const std::string& head, const std::string& payload)
             {
                 cj::frame_sealer sealer(ring());
                 auto bytes =
                     sealer.seal(cj::frame_type::dispatch, head, payload);
                 const auto at =
                     *rc::gen::inRange<std::size_t>(0, bytes.size());
                 const auto bit = *rc::gen::inRange(0, 8);
                 bytes[at] = static_cast<char>(bytes[at] ^ (1 << bit));
                 cj::frame_opener opener(ring());
                 opener.append(bytes);
                 const auto read = opener.next();
                 const bool opened = read && read.value();
                 RC_ASSERT(!opened);
             });
    rc::prop("arbitrary bytes instead of a frame",
             [](const std::string& noise)
             {
                 cj::frame_opener opener(ring());
                 opener.append(noise);
                 const auto read = opener.next();
                 const bool opened = read && read.value();
                 RC_ASSERT(!opened);
             });
}
