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

SCENARIO("the keepers of a claim settle together who has it", "[run]")
{
    const cj::instance_id first("entry-1");
    const cj::instance_id second("entry-2");
    const cj::instance_id third("entry-3");
    cj::claim_quorum tally({first, second, third});
    CHECK_FALSE(tally.verdict());

    GIVEN("two that know of no claim")
    {
        tally.add_answer(first, false);
        tally.add_answer(second, false);
        CHECK_FALSE(tally.verdict());
        WHEN("the third knows of none either")
        {
            tally.add_answer(third, false);
            CHECK(tally.verdict() == claim_verdict::free);
        }
        WHEN("the third knows of one")
        {
            tally.add_answer(third, true);
            CHECK(tally.verdict() == claim_verdict::taken);
        }
        WHEN("the third is lost")
        {
            tally.drop_voter(third);
            CHECK(tally.verdict() == claim_verdict::free);
        }
        WHEN("one answers twice, or somebody who was not asked")
        {
            tally.add_answer(first, false);
            tally.add_answer(cj::instance_id("entry-4"), true);
            CHECK_FALSE(tally.verdict());
        }
    }
    GIVEN("one that knows of a claim")
    {
        tally.add_answer(first, true);
        THEN("nobody else needs to be heard")
        {
            CHECK(tally.verdict() == claim_verdict::taken);
        }
    }
    GIVEN("one of three that answers")
    {
        tally.add_answer(first, false);
        tally.stop_waiting();
        CHECK(tally.verdict() == claim_verdict::no_quorum);
    }
    GIVEN("nobody who answers, or nobody to ask")
    {
        tally.stop_waiting();
        CHECK(tally.verdict() == claim_verdict::no_quorum);
        CHECK(cj::claim_quorum({}).verdict() == claim_verdict::no_quorum);
    }
    GIVEN("an installation with two entries, of which one is gone")
    {
        cj::claim_quorum small({first, second});
        small.drop_voter(second);
        small.add_answer(first, false);
        CHECK(small.verdict() == claim_verdict::free);
    }
}

namespace
{

/*! @brief A key-value service that may lose claims, three keepers, and sides
 * that come and go. */
struct installation
{
    static constexpr std::size_t keepers = 3;

    /*! @brief A request comes to a side.
     * @param side One life of a side.
     * @param silent One bit for each keeper that does not answer. */
    void request(const std::string& id, const std::string& side,
                 unsigned silent)
    {
        if (!claims.emplace(id, side).second)
            return;
        std::set<cj::instance_id> asked;
        for (std::size_t at = 0; at < keepers; ++at)
            asked.insert(name(at));
        cj::claim_quorum tally(asked);
        for (std::size_t at = 0; at < keepers; ++at)
        {
            if ((silent >> at & 1U) == 0)
                tally.add_answer(name(at),
                                 !books[at].try_claim(cj::digest::of(id), side,
                                                      cj::time_point()));
        }
        tally.stop_waiting();
        runs[id] += tally.verdict() == claim_verdict::free ? 1 : 0;
    }

    static cj::instance_id name(std::size_t at)
    {
        return cj::instance_id(std::to_string(at));
    }

    [[nodiscard]] bool at_most_once() const
    {
        return std::all_of(runs.begin(), runs.end(),
                           [](const auto& one) { return one.second <= 1; });
    }

    std::map<std::string, std::string> claims;
    std::map<std::string, std::string> copy;
    std::vector<cj::claim_registry> books{keepers, cj::claim_registry(1000)};
    std::map<std::string, unsigned> runs;
};

/*! @brief Plays steps; each tries an id, takes a copy, or comes back from it.
 * @param disturb Returns the keepers that stay silent at a step. */
template <typename Disturb>
installation play(Disturb disturb)
{
    installation all;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
    for (std::size_t at = 0; at < steps.size(); ++at)
    {
        const auto step = steps[at];
        if (step == 0)
            all.copy = all.claims;
        else if (step <= 2)
            all.claims = all.copy;
        else
            all.request(std::to_string(step % 3), "side-" + std::to_string(at),
                        disturb(all));
    }
    return all;
}

} // namespace

TEST_CASE("claims that the service loses let nothing run twice", "[run]")
{
    rc::prop(
        "while any keepers are silent at times",
        []
        {
            const auto end = play(
                [](installation&)
                { return *rc::gen::inRange(0U, 1U << installation::keepers); });
            RC_ASSERT(end.at_most_once());
        });
    rc::prop("while one keeper forgets all, again and again",
             []
             {
                 const auto end = play(
                     [](installation& all)
                     {
                         if (*rc::gen::arbitrary<bool>())
                             all.books[0] = cj::claim_registry(1000);
                         return 0U;
                     });
                 RC_ASSERT(end.at_most_once());
             });
}
