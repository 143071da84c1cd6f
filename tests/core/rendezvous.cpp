#include "coursejunction/core/rendezvous.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/core/types.hpp"

namespace cj = coursejunction;

namespace
{

std::vector<cj::instance_id> instances(std::size_t count)
{
    std::vector<cj::instance_id> ids;
    for (std::size_t at = 0; at < count; ++at)
        ids.emplace_back("instance-" + std::to_string(at));
    return ids;
}

} // namespace

TEST_CASE("rendezvous hashing moves only what it must", "[core]")
{
    rc::prop("a candidate that leaves moves nobody else",
             [](const std::string& key)
             {
                 auto ids = instances(20);
                 const auto before = cj::rendezvous_rank(key, ids, 20);
                 const auto gone = *rc::gen::elementOf(ids);
                 std::erase(ids, gone);
                 auto expected = before;
                 std::erase(expected, gone);
                 RC_ASSERT(cj::rendezvous_rank(key, ids, 20) == expected);
             });
    rc::prop("the order of candidates does not matter",
             [](const std::string& key)
             {
                 const auto ids = instances(12);
                 auto other = ids;
                 std::reverse(other.begin(), other.end());
                 RC_ASSERT(cj::rendezvous_rank(key, ids, 4) ==
                           cj::rendezvous_rank(key, other, 4));
             });
}
