#include "coursejunction/run/claim_quorum.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/run/claim_registry.hpp"

namespace cj = coursejunction;
using cj::claim_verdict;

SCENARIO("the voters decide together whether a claim is free", "[run]")
{
    const cj::instance_id first("entry-1");
    const cj::instance_id second("entry-2");
    const cj::instance_id third("entry-3");
    cj::claim_quorum quorum({first, second, third});
    CHECK_FALSE(quorum.verdict());

    GIVEN("two voters that know no claim")
    {
        quorum.add_answer(first, false);
        quorum.add_answer(second, false);
        CHECK_FALSE(quorum.verdict());
        WHEN("the third knows none either")
        {
            quorum.add_answer(third, false);
            CHECK(quorum.verdict() == claim_verdict::free);
        }
        WHEN("the third knows one")
        {
            quorum.add_answer(third, true);
            CHECK(quorum.verdict() == claim_verdict::taken);
        }
        WHEN("the third is unreachable")
        {
            quorum.drop_voter(third);
            CHECK(quorum.verdict() == claim_verdict::free);
        }
        WHEN("one votes twice, and one votes that was not asked")
        {
            quorum.add_answer(first, false);
            quorum.add_answer(cj::instance_id("entry-4"), true);
            CHECK_FALSE(quorum.verdict());
        }
    }
    GIVEN("one voter that knows a claim")
    {
        quorum.add_answer(first, true);
        THEN("no other vote is needed")
        {
            CHECK(quorum.verdict() == claim_verdict::taken);
        }
    }
    GIVEN("one answer of three")
    {
        quorum.add_answer(first, false);
        quorum.stop_waiting();
        CHECK(quorum.verdict() == claim_verdict::no_quorum);
    }
    GIVEN("no answers, or no voters")
    {
        quorum.stop_waiting();
        CHECK(quorum.verdict() == claim_verdict::no_quorum);
        CHECK(cj::claim_quorum({}).verdict() == claim_verdict::no_quorum);
    }
    GIVEN("two voters, of which one is unreachable")
    {
        cj::claim_quorum of_two({first, second});
        of_two.drop_voter(second);
        of_two.add_answer(first, false);
        CHECK(of_two.verdict() == claim_verdict::free);
    }
}

namespace
{

/*! @brief A key-value service that may lose claims, three voters, and sidecars
 * that restart for each request. */
struct installation
{
    static constexpr std::size_t voter_count = 3;

    /*! @brief Runs a request at a sidecar if it wins the claim.
     * @param sidecar_incarnation Name of one incarnation of a sidecar.
     * @param silent One bit for each voter that does not answer. */
    void request(const std::string& id, const std::string& sidecar_incarnation,
                 unsigned silent)
    {
        if (!claims.emplace(id, sidecar_incarnation).second)
            return;
        std::set<cj::instance_id> voters;
        for (std::size_t index = 0; index < voter_count; ++index)
            voters.insert(voter(index));
        cj::claim_quorum quorum(voters);
        for (std::size_t index = 0; index < voter_count; ++index)
        {
            if ((silent >> index & 1U) == 0)
                quorum.add_answer(voter(index),
                                  !registries[index].try_claim(
                                      cj::digest::of(id), sidecar_incarnation,
                                      cj::time_point()));
        }
        quorum.stop_waiting();
        runs[id] += quorum.verdict() == claim_verdict::free ? 1 : 0;
    }

    static cj::instance_id voter(std::size_t index)
    {
        return cj::instance_id(std::to_string(index));
    }

    [[nodiscard]] bool at_most_once() const
    {
        return std::all_of(runs.begin(), runs.end(),
                           [](const auto& one) { return one.second <= 1; });
    }

    std::map<std::string, std::string> claims;
    std::map<std::string, std::string> backup;
    std::vector<cj::claim_registry> registries{voter_count,
                                               cj::claim_registry(1000)};
    std::map<std::string, unsigned> runs;
};

/*! @brief Runs random steps: each sends a request, backs the service up, or
 * restores the backup.
 * @param silent_voters Returns the voters that don't answer at a step; may
 * change the installation first. */
template <typename SilentVoters>
installation run_steps(SilentVoters silent_voters)
{
    installation system;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (std::size_t index = 0; index < steps.size(); ++index)
    {
        const auto step = steps[index];
        if (step == 0)
            system.backup = system.claims;
        else if (step <= 2)
            system.claims = system.backup;
        else
            system.request(std::to_string(step % 3),
                           "side-" + std::to_string(index),
                           silent_voters(system));
    }
    return system;
}

} // namespace

TEST_CASE("no request runs twice after the service has lost claims", "[run]")
{
    rc::prop("while any voters fail to answer at times",
             []
             {
                 const auto end = run_steps(
                     [](installation&) {
                         return *rc::gen::inRange(
                             0U, 1U << installation::voter_count);
                     });
                 RC_ASSERT(end.at_most_once());
             });
    rc::prop("while one voter loses its memory again and again",
             []
             {
                 const auto end = run_steps(
                     [](installation& system)
                     {
                         if (*rc::gen::arbitrary<bool>())
                             system.registries[0] = cj::claim_registry(1000);
                         return 0U;
                     });
                 RC_ASSERT(end.at_most_once());
             });
}
