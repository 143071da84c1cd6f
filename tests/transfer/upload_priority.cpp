#include "coursejunction/transfer/upload_priority.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "coursejunction/rollout/close_policy.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

TEST_CASE("the sidecars that close first get chunks first")
{
    const std::string version = "tutor2";
    std::vector<hall_peer> hall;
    for (int index = 0; index < 24; ++index)
        hall.push_back(
            {instance_id("side-" + std::to_string(index)), false, true});
    std::size_t early_count = 0;
    for (const auto& one : hall)
    {
        auto others = hall;
        std::erase_if(others, [&](const hall_peer& other)
                      { return other.id == one.id; });
        const bool closes =
            may_close(close_limits{}, one.id, others, version, 1s);
        const auto priority = upload_priority_of(version, one.id.value());
        if (closes)
            REQUIRE(priority == upload_priority::early);
        early_count += priority == upload_priority::early ? 1 : 0;
    }
    REQUIRE(early_count > 6);
    REQUIRE(early_count < 18);
}
