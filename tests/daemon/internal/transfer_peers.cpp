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
                        [&](const auto& instance) { return instance.id == id; })
        ->hall;
}

} // namespace

SCENARIO("a manifest comes from the origin once, then once into each hall",
         "[daemon]")
{
    const auto version = cj::digest::of("v");
    const auto all = fixtures::participants(12);
    const auto source_for =
        [&](const cj::participant& instance, std::size_t failed_ranks)
    {
        return ci::manifest_source(version, all, instance.id, instance.hall,
                                   failed_ranks);
    };
    const auto at_origin = [&](std::size_t failed_ranks)
    {
        return std::count_if(all.begin(), all.end(),
                             [&](const auto& instance)
                             { return !source_for(instance, failed_ranks); });
    };

    THEN("one instance asks the origin, one of each other hall asks that one")
    {
        CHECK(at_origin(0) == 1);
        const auto outside = std::count_if(
            all.begin(), all.end(),
            [&](const auto& instance)
            {
                const auto from = source_for(instance, 0);
                return from && hall_of(all, *from) != instance.hall;
            });
        CHECK(outside == 2);
    }
    THEN("no instance asks itself")
    {
        for (const auto& instance : all)
        {
            for (std::size_t failed_ranks = 0; failed_ranks < all.size();
                 ++failed_ranks)
                CHECK(source_for(instance, failed_ranks) != instance.id);
        }
    }
    THEN("after failed attempts the next rank asks the origin too")
    {
        CHECK(at_origin(1) == 2);
        CHECK(at_origin(all.size()) == static_cast<std::ptrdiff_t>(all.size()));
    }
    THEN("a single instance asks the origin")
    {
        const std::vector<cj::participant> alone{all.front()};
        CHECK_FALSE(
            ci::manifest_source(version, alone, alone[0].id, alone[0].hall, 0));
    }
}

SCENARIO("neighbours are other instances of the own hall", "[daemon]")
{
    const auto version = cj::digest::of("v");
    const auto all = fixtures::participants(18);
    const cj::instance_id own("i0");
    const cj::hall_id hall("a");

    const auto chosen = ci::chosen_neighbours(version, all, own, hall, 5);

    CHECK(chosen.size() == 3);
    for (const auto& instance : chosen)
    {
        CHECK(instance != own);
        CHECK(hall_of(all, instance) == hall);
    }
    CHECK(ci::chosen_neighbours(version, all, own, hall, 50).size() == 5);
    CHECK(ci::chosen_neighbours(version, {}, own, hall, 5).empty());
}
