#include "coursejunction/daemon/internal/transfer_peers.hpp"

#include <algorithm>

#include <catch2/catch.hpp>

#include "transfer/fixtures.hpp"

namespace cj = coursejunction;
namespace ci = coursejunction::internal;

namespace
{

cj::hall_id hall_of(const std::vector<cj::participant>& all,
                    const cj::instance_id& id)
{
    return std::find_if(all.begin(), all.end(),
                        [&](const auto& one) { return one.id == id; })
        ->hall;
}

} // namespace

SCENARIO("a manifest comes from the origin once, then from hall to hall",
         "[daemon]")
{
    const auto version = cj::digest::of("v");
    const auto all = fixtures::participants(12);
    const auto ask = [&](const cj::participant& one, std::size_t turn)
    { return ci::manifest_source(version, all, one.id, one.hall, turn); };
    const auto at_origin = [&](std::size_t turn)
    {
        return std::count_if(all.begin(), all.end(),
                             [&](const auto& one) { return !ask(one, turn); });
    };

    THEN("one asks the origin, one of each other hall asks that one")
    {
        CHECK(at_origin(0) == 1);
        const auto outside =
            std::count_if(all.begin(), all.end(),
                          [&](const auto& one)
                          {
                              const auto from = ask(one, 0);
                              return from && hall_of(all, *from) != one.hall;
                          });
        CHECK(outside == 2);
    }
    THEN("nobody asks itself")
    {
        for (const auto& one : all)
        {
            for (std::size_t turn = 0; turn < all.size(); ++turn)
                CHECK(ask(one, turn) != one.id);
        }
    }
    THEN("after tries in vain the next rank asks the origin too")
    {
        CHECK(at_origin(1) == 2);
        CHECK(at_origin(all.size()) == static_cast<std::ptrdiff_t>(all.size()));
    }
    THEN("one alone asks the origin")
    {
        const std::vector<cj::participant> alone{all.front()};
        CHECK_FALSE(
            ci::manifest_source(version, alone, alone[0].id, alone[0].hall, 0));
    }
}

SCENARIO("neighbours are of the own hall and never oneself", "[daemon]")
{
    const auto version = cj::digest::of("v");
    const auto all = fixtures::participants(18);
    const cj::instance_id own("i0");
    const cj::hall_id hall("a");

    const auto chosen = ci::chosen_neighbours(version, all, own, hall, 5);

    CHECK(chosen.size() == 3);
    for (const auto& one : chosen)
    {
        CHECK(one != own);
        CHECK(hall_of(all, one) == hall);
    }
    CHECK(ci::chosen_neighbours(version, all, own, hall, 50).size() == 5);
    CHECK(ci::chosen_neighbours(version, {}, own, hall, 5).empty());
}
