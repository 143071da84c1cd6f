#include "coursejunction/route/cold_start.hpp"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/route/cold_division.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::time_point start{1000s};
const cj::cold_policy policy{3000ms, 32};

cj::cold_start cold_since_start(double share_per_second, double phase = 0)
{
    cj::cold_start cold;
    cold.set_policy(policy);
    cold.apply_record(3000ms, start);
    cold.set_share({share_per_second, 0}, phase, 1, start);
    return cold;
}

/*! @brief Returns how many requests an entry sends that tries every 10 ms. */
int sends_between(cj::cold_start& cold, cj::time_point from, cj::time_point to)
{
    int count = 0;
    for (auto now = from; now < to; now += 10ms)
    {
        while (now >= cold.next_send_at())
        {
            cold.record_send(now);
            ++count;
        }
    }
    return count;
}

std::string address(std::size_t index)
{
    return "10.0.0." + std::to_string(index);
}

std::vector<cj::entry_demand> entries_of(std::size_t count,
                                         std::size_t halls = 2)
{
    std::vector<cj::entry_demand> result;
    for (std::size_t at = 0; at < count; ++at)
        result.push_back(
            {cj::hall_id(std::to_string(at % halls)), address(at), 1});
    return result;
}

cj::limit_share share_of(const cj::cold_division& division, double rate = 32)
{
    return division.share(cj::instance_id("u"), cj::hall_id("0"), rate);
}

} // namespace

SCENARIO("until when an upstream is cold", "[route]")
{
    cj::cold_start cold;
    cold.set_policy(policy);

    GIVEN("its record says that it is cold for another 2 s")
    {
        cold.apply_record(2000ms, start);
        CHECK(cold.active(start + 1999ms));
        CHECK_FALSE(cold.active(start + 2000ms));
        THEN("a later record ends the cold start or starts another one")
        {
            cold.apply_record(0ms, start + 1s);
            CHECK_FALSE(cold.active(start + 1s));
            CHECK(cold.next_send_at() <= start + 1s);
            cold.apply_record(3000ms, start + 5s);
            CHECK(cold.active(start + 7s));
        }
    }
    GIVEN("a later incarnation was reported")
    {
        cold.extend_from(start, cj::cold_source::incarnation, start);
        CHECK(cold.ends_at() == start + 3s);
        THEN("a record without a cold start does not end it, as it may have "
             "been written too early")
        {
            cold.apply_record(0ms, start + 1s);
            CHECK(cold.active(start + 2s));
        }
        THEN("a record with a cold start replaces the estimate")
        {
            cold.apply_record(4000ms, start + 1s);
            CHECK(cold.ends_at() == start + 5s);
            CHECK(cold.source() == cj::cold_source::record);
        }
        THEN("a mark that ends earlier does not shorten it")
        {
            cold.extend(start + 1s, cj::cold_source::marked, start);
            CHECK(cold.ends_at() == start + 3s);
        }
    }
    GIVEN("a service without a rate or a time: nothing is restricted")
    {
        const auto other =
            GENERATE(cj::cold_policy{3000ms, 0}, cj::cold_policy{0ms, 32});
        cold.set_policy(other);
        cold.apply_record(2000ms, start);
        cold.extend(start + 9s, cj::cold_source::marked, start);
        CHECK_FALSE(cold.active(start));
        CHECK(cold.next_send_at() <= start);
    }
}

SCENARIO("when an entry may send to a cold upstream", "[route]")
{
    THEN("without a share nothing is sent before the end")
    {
        cj::cold_start cold;
        cold.set_policy(policy);
        cold.apply_record(3000ms, start);
        CHECK(cold.next_send_at() == start + 3s);
        cold.set_share({0, 3}, 0, 1, start);
        CHECK(cold.next_send_at() == start + 3s);
    }
    THEN("a holder sends at its share, after its phase of the first interval")
    {
        auto cold = cold_since_start(4, 0.5);
        CHECK(cold.next_send_at() == start + 125ms);
        CHECK(sends_between(cold, start, start + 2s) == 8);
    }
    THEN("after a suspension it sends one request more than usual at most")
    {
        auto cold = cold_since_start(4);
        cold.apply_record(9000ms, start);
        CHECK(sends_between(cold, start + 5s, start + 6s) == 5);
    }
    THEN("requests sent shortly before the cold start delay the first one")
    {
        cj::cold_start cold;
        cold.set_policy(policy);
        for (int count = 0; count < 3; ++count)
            cold.record_send(start - 100ms);
        cold.apply_record(3000ms, start);
        cold.set_share({8, 0}, 0, 1, start);
        // Due at intervals of 125 ms, beginning half of one before the first.
        CHECK(cold.next_send_at() == start - 100ms - 62500us + 375ms);
    }
    THEN("an entry that gets its share later waits a whole interval")
    {
        cj::cold_start cold;
        cold.set_policy(policy);
        cold.apply_record(3000ms, start);
        cold.set_share({0, 1}, 0, 1, start);
        cold.set_share({4, 0}, 0, 2, start + 1s);
        CHECK(cold.next_send_at() == start + 1250ms);
    }
    THEN("with many requests unanswered it sends none, since a stalled network "
         "would deliver all at once")
    {
        auto cold = cold_since_start(8);
        CHECK(cold.next_send_at(3) == start);
        CHECK(cold.next_send_at(4) == start + 3s);
    }
}

SCENARIO("division of the rate of a cold upstream", "[route]")
{
    const auto entries = entries_of(GENERATE(1U, 5U, 53U, 340U));
    double sum = 0;
    std::size_t holders = 0;
    for (const auto& entry : entries)
    {
        cj::cold_division division;
        division.update(entry.address, entries, 0, start);
        CHECK_FALSE(share_of(division).holds_share());
        for (auto now = start; now <= start + 1500ms; now += 500ms)
            division.update(entry.address, entries, 0, now);
        sum += share_of(division).per_second;
        holders += share_of(division).holds_share() ? 1 : 0;
    }
    THEN("entries that have listened long enough share all but a reserve")
    {
        CHECK(sum == Approx(32 * 0.95));
        CHECK(holders <= 8);
    }
}

SCENARIO("the entries between which the rate of a cold upstream is divided",
         "[route]")
{
    cj::cold_division division;
    auto now = start;
    const auto run = [&](const std::string& own, std::size_t heard,
                         std::chrono::seconds time, std::size_t unheard = 0)
    {
        for (const auto until = now + time; now < until; now += 500ms)
            division.update(own, entries_of(heard, 1), unheard, now);
    };

    GIVEN("an entry that stops hearing the three others")
    {
        run(address(0), 4, 2s);
        const auto before = share_of(division).per_second;
        CHECK(before == Approx(32 * 0.95 / 4));
        run(address(0), 1, 100s);
        THEN("its share does not grow, as they may still send")
        {
            CHECK(share_of(division).per_second == before);
        }
        THEN("it grows when they were silent for long")
        {
            run(address(0), 1, 30s);
            CHECK(share_of(division).per_second == Approx(32 * 0.95));
        }
    }
    GIVEN("an entry that was suspended: it waits, and then has its old share")
    {
        run(address(0), 4, 2s);
        now += 300s;
        division.update(address(0), entries_of(1, 1), 0, now);
        CHECK_FALSE(share_of(division).holds_share());
        run(address(0), 1, 3s);
        CHECK(share_of(division).per_second == Approx(32 * 0.95 / 4));
    }
    GIVEN("a new process that has not heard an entry that it knows of")
    {
        run(address(0), 1, 29s, 3);
        THEN("it has no share, as it may be cut off from its start")
        {
            CHECK_FALSE(share_of(division).holds_share());
        }
        THEN("it has one later, as the other entry may not exist any more")
        {
            run(address(0), 1, 3s, 3);
            CHECK(share_of(division).holds_share());
        }
    }
    GIVEN("an entry that announces that it is leaving")
    {
        run(address(0), 4, 2s);
        division.update(address(0), entries_of(3, 1), 0, now, {address(3)});
        THEN("the others take its share over at once")
        {
            CHECK(share_of(division).per_second == Approx(32 * 0.95 / 3));
        }
    }
    GIVEN("an entry that shuts down: it has no share")
    {
        run(address(0), 4, 2s);
        run("", 4, 1s);
        CHECK_FALSE(share_of(division).holds_share());
    }
}

namespace
{

/*! @brief Entries in front of one cold upstream, in steps of 10 ms. Callers
 * wait at all of them at all times, or in common bursts. */
class cold_fleet
{
public:
    struct options
    {
        std::size_t entries{5};
        std::size_t halls{1};
        double rate{32};
        unsigned seed{0};
        bool faults{false};
        bool bursts{false};
    };

    explicit cold_fleet(const options& chosen)
        : settings(chosen), demands(entries_of(chosen.entries, chosen.halls)),
          random(chosen.seed)
    {
        for (std::size_t at = 0; at < settings.entries; ++at)
            entries.push_back(make_entry());
    }

    /*! @brief Runs and returns the sorted times of arrivals while cold. */
    std::vector<cj::time_point> run(cj::time_point cold_from,
                                    cj::time_point until)
    {
        cold_at = cold_from;
        for (auto now = start; now < until; now += 10ms)
        {
            const auto tick = (now - start) / 10ms;
            if (settings.faults && tick % 20 == 0)
                inject_fault(now);
            for (std::size_t at = 0; at < entries.size(); ++at)
                step(at, static_cast<std::size_t>(tick), now);
        }
        std::sort(arrivals.begin(), arrivals.end());
        return arrivals;
    }

private:
    struct entry
    {
        cj::cold_division division;
        cj::cold_start cold;
        std::vector<cj::time_point> heard; /*!< By entry; the epoch: never. */
        std::vector<cj::time_point> answers;
        cj::time_point stopped_until{}; /*!< Suspended or killed. */
        cj::time_point cut_off_until{};
        unsigned part{0};        /*!< Side of the partition. */
        cj::milliseconds lag{0}; /*!< Until it learns of the cold start. */
        bool aware{false};
    };

    std::size_t draw(std::size_t below) { return random() % below; }

    entry make_entry()
    {
        entry made;
        made.cold.set_policy({60'000ms, settings.rate});
        made.heard.resize(settings.entries);
        made.lag = cj::milliseconds(draw(200));
        return made;
    }

    /*! @brief Kills, suspends or cuts off a random entry. Partitions last less
     * than `unheard_settling_time`. */
    void inject_fault(cj::time_point now)
    {
        auto& one = entries[draw(entries.size())];
        const auto until = now + cj::milliseconds(100 + draw(4000));
        switch (draw(4))
        {
        case 0:
            one = make_entry();
            one.stopped_until = until;
            break;
        case 1:
            one.stopped_until = until;
            break;
        case 2:
            one.part = 1 + static_cast<unsigned>(draw(3));
            one.cut_off_until = now + cj::milliseconds(draw(12'000));
            break;
        default:
            stall_until = now + cj::milliseconds(draw(300));
        }
    }

    [[nodiscard]] static unsigned part(const entry& one, cj::time_point now)
    {
        return now < one.cut_off_until ? one.part : 0;
    }

    void step(std::size_t at, std::size_t tick, cj::time_point now)
    {
        auto& one = entries[at];
        if (now < one.stopped_until)
            return;
        if (tick % 20 == at % 20)
        {
            hear(one, now);
            update(at, now);
        }
        if (!one.aware && now >= cold_at + one.lag)
        {
            one.aware = true;
            one.cold.apply_record(60'000ms, now);
            update(at, now);
        }
        std::erase_if(one.answers, [&](auto when) { return when <= now; });
        // An engine that is not cold serves about 9 requests a second.
        const bool wants = one.aware ? !settings.bursts || tick % 250 < 100
                                     : draw(entries.size() * 11) == 0;
        while (wants && now >= one.cold.next_send_at(one.answers.size()))
        {
            send(one, now);
            if (!one.aware)
                break;
        }
    }

    void hear(entry& one, cj::time_point now)
    {
        for (std::size_t other = 0; other < entries.size(); ++other)
        {
            if (now >= entries[other].stopped_until && draw(10) > 0 &&
                part(entries[other], now) == part(one, now))
                one.heard[other] = now;
        }
    }

    void update(std::size_t at, cj::time_point now)
    {
        auto& one = entries[at];
        std::vector<cj::entry_demand> alive{demands[at]};
        std::size_t unheard = 0;
        for (std::size_t other = 0; other < entries.size(); ++other)
        {
            if (other == at)
                continue;
            unheard += one.heard[other] == cj::time_point{} ? 1 : 0;
            if (now - one.heard[other] <= 1s)
                alive.push_back(demands[other]);
        }
        one.division.update(address(at), alive, unheard, now);
        if (one.aware)
            one.cold.set_share(share_of(one.division, settings.rate),
                               static_cast<double>(draw(100)) / 100, 1, now);
    }

    void send(entry& from, cj::time_point now)
    {
        from.cold.record_send(now);
        const auto arrives = std::max<cj::time_point>(now, stall_until) +
                             cj::milliseconds(1 + draw(40));
        from.answers.push_back(arrives + 20ms);
        if (arrives >= cold_at)
            arrivals.push_back(arrives);
    }

    options settings;
    std::vector<cj::entry_demand> demands;
    std::minstd_rand random;
    std::vector<entry> entries;
    cj::time_point cold_at{};
    cj::time_point stall_until{};
    std::vector<cj::time_point> arrivals;
};

/*! @brief Returns the largest number of arrivals in one second. */
std::size_t max_in_second(const std::vector<cj::time_point>& arrivals)
{
    std::size_t largest = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < arrivals.size(); ++last)
    {
        while (arrivals[last] - arrivals[first] >= 1s)
            ++first;
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

constexpr double allowed(double rate)
{
    return 1.5 * rate + 5;
}

} // namespace

// Guards against shares that together exceed the rate after faults of entries.
SCENARIO("all entries together keep to the rate of a cold upstream", "[route]")
{
    GIVEN("entries that are killed, start, freeze and stop hearing each other")
    {
        rc::prop("no second exceeds the bound",
                 []
                 {
                     cold_fleet::options chosen;
                     chosen.entries =
                         *rc::gen::element<std::size_t>(2, 5, 12, 53);
                     chosen.halls = *rc::gen::element<std::size_t>(1, 3);
                     chosen.rate = *rc::gen::element<double>(1, 5, 27, 32, 100);
                     chosen.seed = *rc::gen::arbitrary<unsigned>();
                     chosen.bursts = *rc::gen::arbitrary<bool>();
                     chosen.faults = true;
                     const auto arrivals =
                         cold_fleet(chosen).run(start + 4s, start + 20s);
                     RC_ASSERT(static_cast<double>(max_in_second(arrivals)) <=
                               allowed(chosen.rate));
                 });
    }
    GIVEN("340 of them")
    {
        const auto seed = GENERATE(range(0U, 4U));
        const auto arrivals =
            cold_fleet({340, 2, 32, seed, true, seed % 2 == 0})
                .run(start + 4s, start + 12s);
        CHECK(static_cast<double>(max_in_second(arrivals)) <= allowed(32));
    }
    GIVEN("healthy entries at which callers wait")
    {
        const auto entries = GENERATE(5U, 53U, 340U);
        const auto seed = GENERATE(range(0U, 4U));
        const auto cold_from = start + 4s;
        const auto arrivals = cold_fleet({entries, 1, 32, seed, false, false})
                                  .run(cold_from, cold_from + 3s);
        THEN("they use most of the rate, and exceed it by a few requests only")
        {
            CHECK(static_cast<double>(arrivals.size()) >= 0.8 * 32 * 3);
            CHECK(max_in_second(arrivals) <= 32 + 8);
        }
    }
}
