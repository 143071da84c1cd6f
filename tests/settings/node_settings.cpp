#include "coursejunction/settings/node_settings.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;

namespace
{

const std::string valid = R"([instance]
role = side
id = side-1
hall = antigua
region = valley
address = 127.0.0.1
peer_port = 7000
http_port = 7001
[security]
keys = 1:00112233445566778899aabbccddeeff
active_key = 1
[platform]
instance_list = http://127.0.0.1:1/instances
key_value = http://127.0.0.1:2
[upstream]
url = http://127.0.0.1:3
)";

std::string parse_error(const std::string& text)
{
    const auto read = cj::node_settings::parse("a.ini", text);
    return read ? std::string{} : read.error().message;
}

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = valid;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

SCENARIO("settings of a daemon are parsed and checked", "[settings]")
{
    GIVEN("a valid file")
    {
        const auto read = cj::node_settings::parse("a.ini", valid);
        REQUIRE(read);
        CHECK(read.value().kind == cj::role::side);
        CHECK(read.value().heartbeat_interval == cj::milliseconds(1000));
        CHECK(read.value().keys.at(1).size() == 16);
    }
    GIVEN("invalid settings")
    {
        THEN("the error is one line with file, section and key")
        {
            CHECK(parse_error(replaced("hall = antigua\n", "")) ==
                  "a.ini: [instance] hall: value is missing");
            CHECK(parse_error(valid + "colour = red\n") ==
                  "a.ini: [upstream] colour: key is unknown");
            CHECK(
                parse_error(valid + "[membership]\nheartbeat_interval = 5\n") ==
                "a.ini: [membership] heartbeat_interval: '5' is not a duration "
                "with a unit: ms, s, min or h");
            CHECK(parse_error(valid + "[transfer]\nupload_rate = 5MiB\n") ==
                  "a.ini: [transfer] upload_rate: '5MiB' needs a unit: B/s, "
                  "KiB/s, MiB/s, GiB/s or Mbit/s");
            CHECK(parse_error(replaced("7000", "70000")) ==
                  "a.ini: [instance] peer_port: must be between 0 and 65535");
            CHECK(
                parse_error(replaced("active_key = 1", "active_key = 2")) ==
                "a.ini: [security] active_key: must be the number of a key in "
                "[security] keys");
            CHECK(parse_error(replaced("role = side", "role = boss")) ==
                  "a.ini: [instance] role: must be entry or side");
            CHECK(parse_error("nonsense\n") ==
                  "a.ini: line 1 is not valid INI");
        }
        THEN("an unreadable file is reported by its path")
        {
            const auto read = cj::node_settings::load("/nonexistent.ini");
            REQUIRE_FALSE(read);
            CHECK(read.error().message == "/nonexistent.ini: cannot be read");
        }
    }
}
