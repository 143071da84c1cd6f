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

TEST_CASE("rendezvous hashing moves as few keys as possible", "[core]")
{
    rc::prop("removing a candidate keeps the order of the others",
             [](const std::string& key)
             {
                 auto ids = instances(20);
                 const auto before = cj::rendezvous_rank(key, ids, 20);
                 const auto removed = *rc::gen::elementOf(ids);
                 std::erase(ids, removed);
                 auto expected = before;
                 std::erase(expected, removed);
                 RC_ASSERT(cj::rendezvous_rank(key, ids, 20) == expected);
             });
    rc::prop("the ranking does not depend on the order of the candidates",
             [](const std::string& key)
             {
                 const auto ids = instances(12);
                 auto reversed = ids;
                 std::reverse(reversed.begin(), reversed.end());
                 RC_ASSERT(cj::rendezvous_rank(key, ids, 4) ==
                           cj::rendezvous_rank(key, reversed, 4));
             });
}
