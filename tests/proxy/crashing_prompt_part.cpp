#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "net/crashing_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace
{

using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;
using proxy_test::scripted_upstream;

/*! @brief Asks with a body and an id that no other request has.
 * @param part Second part of the prompt; the first one is always the same. */
std::string ask_with_part(entry_on_loopback& entry, const std::string& part)
{
    static int number = 0;
    return entry.ask("/x", "Part: " + part + "\r\n",
                     "body " + std::to_string(++number));
}

/*! @brief An entry with an upstream that serves, and upstreams that each crash
 * once a response has begun. */
struct entry_with_crashing_part : entry_on_loopback
{
    entry_with_crashing_part()
    {
        configure_route(coursejunction::request_kind::stream, true);
    }

    void add_sound_upstream()
    {
        sound = std::make_unique<scripted_upstream>(std::vector<std::string>{
            proxy_test::event_stream("id: 1\ndata: x\n\n", true)});
        add_upstream("sound", sound->address);
    }

    void add_crashing_upstreams(std::size_t count)
    {
        const loopback::crashing_peer::manner begun{
            proxy_test::event_stream("id: 1\ndata: x\n\n", false), 20ms};
        for (std::size_t index = 0; index < count; ++index)
        {
            peers.push_back(std::make_unique<loopback::crashing_peer>(begun));
            add_upstream("u" + std::to_string(index), peers.back()->address);
        }
    }

    [[nodiscard]] std::size_t crashed_count() const
    {
        std::size_t count = 0;
        for (const auto& peer : peers)
            count += peer->reached() ? 1 : 0;
        return count;
    }

    std::unique_ptr<scripted_upstream> sound;
    std::vector<std::unique_ptr<loopback::crashing_peer>> peers;
};

} // namespace

// No two of the requests are alike, so none of them is quarantined for itself.
SCENARIO("requests that share a crashing part of a prompt crash one upstream "
         "after the other",
         "[proxy]")
{
    entry_with_crashing_part entry;
    entry.add_sound_upstream();
    CHECK(ask_with_part(entry, "good").find("200 OK") != std::string::npos);
    entry.remove_upstream("sound");
    entry.add_crashing_upstreams(16);

    WHEN("more of them come than five")
    {
        for (int count = 0; count < 10; ++count)
            ask_with_part(entry, "bad");
        THEN("at most three reach an upstream after the fifth crash")
        {
            CHECK(entry.crashed_count() <= 5 + 3);
        }
        THEN("a sound request with the same first part is served")
        {
            entry.add_sound_upstream();
            CHECK(ask_with_part(entry, "good").find("200 OK") !=
                  std::string::npos);
        }
    }
}
