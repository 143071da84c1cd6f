#include "coursejunction/run/claim_tally.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/run/claim_book.hpp"

namespace cj = coursejunction;
using cj::claim_word;

SCENARIO("the keepers of a claim settle together who has it", "[run]")
{
    const cj::instance_id first("entry-1");
    const cj::instance_id second("entry-2");
    const cj::instance_id third("entry-3");
    cj::claim_tally tally({first, second, third});
    CHECK_FALSE(tally.word());

    GIVEN("two that know of no claim")
    {
        tally.answered(first, false);
        tally.answered(second, false);
        CHECK_FALSE(tally.word());
        WHEN("the third knows of none either")
        {
            tally.answered(third, false);
            CHECK(tally.word() == claim_word::free);
        }
        WHEN("the third knows of one")
        {
            tally.answered(third, true);
            CHECK(tally.word() == claim_word::taken);
        }
        WHEN("the third is lost")
        {
            tally.lost(third);
            CHECK(tally.word() == claim_word::free);
        }
        WHEN("one answers twice, or somebody who was not asked")
        {
            tally.answered(first, false);
            tally.answered(cj::instance_id("entry-4"), true);
            CHECK_FALSE(tally.word());
        }
    }
    GIVEN("one that knows of a claim")
    {
        tally.answered(first, true);
        THEN("nobody else needs to be heard")
        {
            CHECK(tally.word() == claim_word::taken);
        }
    }
    GIVEN("one of three that answers")
    {
        tally.answered(first, false);
        tally.close();
        CHECK(tally.word() == claim_word::silent);
    }
    GIVEN("nobody who answers, or nobody to ask")
    {
        tally.close();
        CHECK(tally.word() == claim_word::silent);
        CHECK(cj::claim_tally({}).word() == claim_word::silent);
    }
    GIVEN("an installation with two entries, of which one is gone")
    {
        cj::claim_tally small({first, second});
        small.lost(second);
        small.answered(first, false);
        CHECK(small.word() == claim_word::free);
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
        cj::claim_tally tally(asked);
        for (std::size_t at = 0; at < keepers; ++at)
        {
            if ((silent >> at & 1U) == 0)
                tally.answered(name(at),
                               !books[at].note(cj::digest::of(id), side,
                                               cj::time_point()));
        }
        tally.close();
        runs[id] += tally.word() == claim_word::free ? 1 : 0;
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
    std::vector<cj::claim_book> books{keepers, cj::claim_book(1000)};
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
                             all.books[0] = cj::claim_book(1000);
                         return 0U;
                     });
                 RC_ASSERT(end.at_most_once());
             });
}
