#include "coursejunction/transfer/upload_priority.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "coursejunction/rollout/close_policy.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("who closes first gets the weights first")
{
    const std::string version = "tutor2";
    std::vector<hall_peer> hall;
    for (int at = 0; at < 24; ++at)
        hall.push_back(
            {instance_id("side-" + std::to_string(at)), false, true});
    std::size_t first = 0;
    for (const auto& one : hall)
    {
        auto others = hall;
        std::erase_if(others, [&](const hall_peer& other)
                      { return other.id == one.id; });
        const bool closes =
            may_close(close_limits{}, one.id, others, version, 1s);
        const auto order = upload_priority_of(version, one.id.value());
        if (closes)
            REQUIRE(order == upload_priority::early);
        first += order == upload_priority::early ? 1 : 0;
    }
    REQUIRE(first > 6);
    REQUIRE(first < 18);
}
