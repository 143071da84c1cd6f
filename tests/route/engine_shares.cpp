#include "coursejunction/route/engine_shares.hpp"

#include <numeric>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;

namespace
{

cj::entry_demand demand(const std::string& hall, const std::string& entry,
                        double rate)
{
    return {cj::hall_id(hall), entry, rate};
}

double sum(const std::vector<double>& parts)
{
    return std::accumulate(parts.begin(), parts.end(), 0.0);
}

} // namespace

SCENARIO("engines are divided between entries in proportion to demand",
         "[route]")
{
    const std::vector<double> slots(6, 8);

    THEN("a single entry gets every engine")
    {
        const auto own = cj::demand_interval_of("a", {demand("n", "a", 0.5)});
        CHECK(cj::engine_fractions(own, slots) == std::vector<double>(6, 1.0));
    }
    GIVEN("two entries, one with twice the demand")
    {
        const std::vector<cj::entry_demand> both{demand("n", "b", 20),
                                                 demand("n", "a", 10)};
        THEN("each gets whole engines")
        {
            CHECK(cj::engine_fractions(cj::demand_interval_of("a", both),
                                       slots) ==
                  std::vector<double>{1, 1, 0, 0, 0, 0});
            CHECK(cj::engine_fractions(cj::demand_interval_of("b", both),
                                       slots) ==
                  std::vector<double>{0, 0, 1, 1, 1, 1});
        }
    }
    GIVEN("an entry with more demand than its hall has engines")
    {
        // Four engines are in hall n, two in hall s.
        const std::vector<cj::entry_demand> both{demand("s", "a", 30),
                                                 demand("n", "b", 30)};
        THEN("it gets those of its hall and one of the other")
        {
            CHECK(cj::engine_fractions(cj::demand_interval_of("a", both),
                                       slots) ==
                  std::vector<double>{0, 0, 0, 1, 1, 1});
        }
    }
    THEN("an entry that is not in the list gets nothing")
    {
        const auto own = cj::demand_interval_of("c", {demand("n", "a", 1)});
        CHECK(sum(cj::engine_fractions(own, slots)) == 0);
    }
    THEN("dividing no engines yields no fractions")
    {
        CHECK(cj::engine_fractions({0, 1}, {}).empty());
    }
    rc::prop("each engine is assigned exactly once",
             [&]
             {
                 const auto count = *rc::gen::inRange<std::size_t>(1, 40);
                 const auto engines = *rc::gen::inRange<std::size_t>(1, 60);
                 std::vector<cj::entry_demand> all;
                 for (std::size_t at = 0; at < count; ++at)
                     all.push_back(demand(std::to_string(at % 3),
                                          std::to_string(at),
                                          *rc::gen::inRange(1, 100)));
                 std::vector<double> given(engines, 0.0);
                 for (const auto& entry : all)
                 {
                     const auto parts = cj::engine_fractions(
                         cj::demand_interval_of(entry.address, all),
                         std::vector<double>(engines, 8));
                     for (std::size_t at = 0; at < engines; ++at)
                         given[at] += parts[at];
                 }
                 for (const auto fraction : given)
                     RC_ASSERT(std::abs(fraction - 1) < 1e-6);
             });
}
