#include "coursejunction/transfer/source_policy.hpp"

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
using kind = cj::chunk_source::source_kind;

namespace
{

const cj::liveness all_alive = [](const cj::instance_id&) { return true; };

/*! @brief Number of instances that fetch one chunk from the origin, and per
 * hall from a peer. */
struct first_fetches
{
    std::size_t origin{0};
    std::map<cj::hall_id, std::size_t> from_peers;
};

template <typename Policy>
first_fetches count(const std::vector<cj::participant>& all,
                    const cj::manifest& content, cj::chunk_index chunk,
                    const cj::liveness& alive,
                    const std::set<cj::instance_id>& dead = {})
{
    first_fetches counted;
    for (const auto& one : all)
    {
        if (dead.contains(one.id))
            continue;
        Policy policy;
        policy.assign(content, all, one.id);
        const auto from = policy.source(chunk, alive, 0);
        counted.origin += from.kind == kind::origin ? 1 : 0;
        counted.from_peers[one.hall] += from.kind == kind::peer ? 1 : 0;
    }
    return counted;
}

} // namespace

SCENARIO("swarm instances agree on first sources without a coordinator",
         "[transfer]")
{
    const auto all = fixtures::participants(30);
    const auto content = fixtures::manifest_of(fixtures::model_bytes(60));
    GIVEN("processes that agree on which instances are alive")
    {
        for (cj::chunk_index chunk = 0; chunk < content.size(); ++chunk)
        {
            const auto counted =
                count<cj::swarm_policy>(all, content, chunk, all_alive);
            std::size_t from_peers = 0;
            for (const auto& [hall, times] : counted.from_peers)
            {
                CHECK(times <= 1);
                from_peers += times;
            }
            // One from the origin, one for each of the two other halls.
            CHECK(counted.origin == 1);
            CHECK(from_peers == 2);
        }
    }
    GIVEN("a first rank that is dead")
    {
        cj::swarm_policy policy;
        std::map<cj::instance_id, std::size_t> owned;
        for (const auto& one : all)
        {
            policy.assign(content, all, one.id);
            owned[one.id] = policy.source(7, all_alive, 0).kind == kind::origin;
        }
        const auto owner =
            std::find_if(owned.begin(), owned.end(),
                         [](const auto& one) { return one.second == 1; })
                ->first;
        const auto counted = count<cj::swarm_policy>(
            all, content, 7,
            [&](const cj::instance_id& id) { return id != owner; }, {owner});
        THEN("exactly one other instance fetches in its place")
        {
            CHECK(counted.origin == 1);
        }
    }
    GIVEN("one and a half extra copies")
    {
        std::size_t fetched = 0;
        for (const auto& one : all)
        {
            cj::swarm_policy policy(1.5);
            policy.assign(content, all, one.id);
            for (cj::chunk_index chunk = 0; chunk < content.size(); ++chunk)
                fetched +=
                    policy.source(chunk, all_alive, 0).kind == kind::origin;
        }
        CHECK(fetched >= 2 * content.size());
        CHECK(fetched <= 3 * content.size());
    }
}

SCENARIO("stripes and chains reach every instance", "[transfer]")
{
    const auto all = fixtures::participants(30);
    const auto content = fixtures::manifest_of(fixtures::model_bytes(16));
    const auto reaches_all = [&](auto example)
    {
        using policy_type = decltype(example);
        for (cj::chunk_index chunk = 0; chunk < content.size(); ++chunk)
        {
            std::set<cj::instance_id> holders;
            for (bool changed = true; changed;)
            {
                changed = false;
                for (const auto& one : all)
                {
                    policy_type policy;
                    policy.assign(content, all, one.id);
                    const auto from = policy.source(chunk, all_alive, 0);
                    const bool receives = from.kind == kind::origin ||
                                          holders.contains(from.peer);
                    changed |= receives && holders.insert(one.id).second;
                }
            }
            CHECK(holders.size() == all.size());
            CHECK(count<policy_type>(all, content, chunk, all_alive).origin ==
                  1);
        }
    };
    SECTION("stripes")
    {
        reaches_all(cj::stripe_policy());
    }
    SECTION("chain")
    {
        reaches_all(cj::chain_policy());
    }
}
