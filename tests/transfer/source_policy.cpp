#include "coursejunction/transfer/source_policy.hpp"

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
using kind = cj::chunk_source::source_kind;

namespace
{

const cj::liveness everybody = [](const cj::instance_id&) { return true; };

/*! @brief Counts first receipts of one chunk, by all participants. */
struct receipts
{
    std::size_t origin{0};
    std::map<cj::hall_id, std::size_t> across;
};

template <typename Policy>
receipts count(const std::vector<cj::participant>& all, const cj::manifest& of,
               cj::chunk_index chunk, const cj::liveness& alive,
               const std::set<cj::instance_id>& dead = {})
{
    receipts counted;
    for (const auto& one : all)
    {
        if (dead.contains(one.id))
            continue;
        Policy policy;
        policy.assign(of, all, one.id);
        const auto from = policy.source(chunk, alive, 0);
        counted.origin += from.kind == kind::origin ? 1 : 0;
        counted.across[one.hall] += from.kind == kind::peer ? 1 : 0;
    }
    return counted;
}

} // namespace

SCENARIO("first receipts of the swarm need no coordinator", "[transfer]")
{
    const auto all = fixtures::participants(30);
    const auto of = fixtures::manifest_of(fixtures::model_bytes(60));
    GIVEN("processes that agree on who is alive")
    {
        for (cj::chunk_index chunk = 0; chunk < of.size(); ++chunk)
        {
            const auto counted =
                count<cj::swarm_policy>(all, of, chunk, everybody);
            std::size_t across = 0;
            for (const auto& [hall, times] : counted.across)
            {
                CHECK(times <= 1);
                across += times;
            }
            // One from the origin, one into each of the two other halls.
            CHECK(counted.origin == 1);
            CHECK(across == 2);
        }
    }
    GIVEN("a first rank that is dead")
    {
        cj::swarm_policy policy;
        std::map<cj::instance_id, std::size_t> owned;
        for (const auto& one : all)
        {
            policy.assign(of, all, one.id);
            owned[one.id] = policy.source(7, everybody, 0).kind == kind::origin;
        }
        const auto owner =
            std::find_if(owned.begin(), owned.end(),
                         [](const auto& one) { return one.second == 1; })
                ->first;
        const auto counted = count<cj::swarm_policy>(
            all, of, 7, [&](const cj::instance_id& id) { return id != owner; },
            {owner});
        THEN("exactly one other fetches in its place")
        {
            CHECK(counted.origin == 1);
        }
    }
    GIVEN("an extra copy and a half")
    {
        std::size_t fetched = 0;
        for (const auto& one : all)
        {
            cj::swarm_policy policy(1.5);
            policy.assign(of, all, one.id);
            for (cj::chunk_index chunk = 0; chunk < of.size(); ++chunk)
                fetched +=
                    policy.source(chunk, everybody, 0).kind == kind::origin;
        }
        CHECK(fetched >= 2 * of.size());
        CHECK(fetched <= 3 * of.size());
    }
}

SCENARIO("trees and chains reach everybody", "[transfer]")
{
    const auto all = fixtures::participants(30);
    const auto of = fixtures::manifest_of(fixtures::model_bytes(16));
    const auto reaches_all = [&](auto made)
    {
        using policy_type = decltype(made);
        for (cj::chunk_index chunk = 0; chunk < of.size(); ++chunk)
        {
            std::set<cj::instance_id> have;
            for (bool grown = true; grown;)
            {
                grown = false;
                for (const auto& one : all)
                {
                    policy_type policy;
                    policy.assign(of, all, one.id);
                    const auto from = policy.source(chunk, everybody, 0);
                    const bool gets =
                        from.kind == kind::origin || have.contains(from.peer);
                    grown |= gets && have.insert(one.id).second;
                }
            }
            CHECK(have.size() == all.size());
            CHECK(count<policy_type>(all, of, chunk, everybody).origin == 1);
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
