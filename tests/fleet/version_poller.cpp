#include "coursejunction/fleet/version_poller.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/log_lines.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t chunks = 4;
constexpr std::size_t chunk_bytes = 1024;

struct virtual_clock
{
    static cj::time_point& time()
    {
        static cj::time_point one{};
        return one;
    }
    static cj::time_point now() { return time(); }
};

/*! @brief Records the polls; tests answer them. */
struct recording_source
{
    using answer = cj::result<cj::offered_version>;

    void newest(const std::string& address, const std::string& model,
                std::function<void(answer)> done)
    {
        addresses.push_back(address);
        models.push_back(model);
        in_flight.push_back(std::move(done));
    }

    std::vector<std::string> addresses;
    std::vector<std::string> models;
    std::vector<std::function<void(answer)>> in_flight;
};

static_assert(cj::Version_source<recording_source>);

recording_source::answer offer(std::uint64_t version)
{
    return cj::offered_version{version, chunks, chunk_bytes, 300};
}

/*! @brief One entry that polls, in virtual time. */
class polling_entry
{
public:
    polling_entry()
        : poller(source, counters, 7,
                 [this](const cj::missed_version& one)
                 {
                     missed.push_back(one);
                     newest = std::max(newest, one.version);
                 })
    {
        virtual_clock::time() = cj::time_point{100s};
        from.origin = "10.0.0.9:80";
        from.origin_rate = 1'250'000;
    }

    /*! @brief Advances the time in ticks. Polls are answered immediately while
     * `answer` is set. */
    void advance(cj::milliseconds duration)
    {
        for (cj::milliseconds passed{0}; passed < duration; passed += tick)
        {
            virtual_clock::time() += tick;
            poll_if_due("m");
            if (answer)
                reply(*answer);
        }
    }

    void poll_if_due(const std::string& model)
    {
        poller.poll_if_due(from, {model, newest, chunks, chunk_bytes},
                           {rank, 9}, virtual_clock::now());
    }

    /*! @brief Answers the polls in flight. */
    void reply(const recording_source::answer& with)
    {
        const auto callbacks = std::exchange(source.in_flight, {});
        for (const auto& done : callbacks)
            done(with);
    }

    [[nodiscard]] std::size_t polls() const { return source.models.size(); }

    static constexpr cj::milliseconds tick{100};
    recording_source source;
    cj::metrics counters;
    cj::service_profile from;
    std::uint64_t newest{2}; /*!< Known from the store or from peers. */
    std::size_t rank{0};
    std::optional<recording_source::answer> answer;
    std::vector<cj::missed_version> missed;
    cj::version_poller<recording_source, virtual_clock> poller;
};

/*! @brief An answer that must be rejected, and part of the reason to be logged.
 */
struct rejected_answer
{
    std::string name;
    recording_source::answer answer;
    std::string why;
};

std::vector<rejected_answer> rejected_answers()
{
    const auto sized = [](std::size_t count, std::size_t bytes) {
        return cj::offered_version{3, count, bytes, 300};
    };
    return {
        {"no answer", cj::failure(cj::error_kind::unavailable, "no answer"),
         "no answer"},
        {"a malformed answer", cj::failure(cj::error_kind::refused, "no JSON"),
         "no JSON"},
        {"status 410", cj::failure(cj::error_kind::unavailable, "status 410"),
         "status 410"},
        {"a redirect", cj::failure(cj::error_kind::unavailable, "status 302"),
         "status 302"},
        {"an older version", offer(1), "older"},
        {"no version", offer(0), "older"},
        {"a version far above the newest", offer(2 + cj::max_version_step + 1),
         "implausible"},
        {"the highest number", offer(~std::uint64_t{0}), "implausible"},
        {"more chunks than the model has", sized(chunks + 1, chunk_bytes),
         "do not fit"},
        {"chunks of another size", sized(chunks, chunk_bytes * 2),
         "do not fit"},
        {"no chunks", sized(0, 0), "do not fit"},
    };
}

} // namespace

SCENARIO("answers that are rejected change nothing, and polling goes on",
         "[fleet]")
{
    for (const auto& rejected : rejected_answers())
    {
        INFO(rejected.name);
        log_test::log_lines log;
        polling_entry entry;
        entry.answer = rejected.answer;
        entry.advance(10'000ms);

        // Nothing is reported, the reason is logged once, and polling goes on.
        CHECK(entry.missed.empty());
        CHECK(entry.newest == 2);
        CHECK(entry.polls() >= 8);
        CHECK(entry.polls() <= 11);
        REQUIRE(log.of("version_source_refused").size() == 1);
        CHECK(log.of("version_source_refused")[0].find(rejected.why) !=
              std::string::npos);
        const auto refused = std::to_string(entry.polls());
        CHECK(entry.counters.text().find(
                  "version_inquiries_total{result=\"refused\"} " + refused) !=
              std::string::npos);

        // Valid answers are used again.
        entry.answer = offer(3);
        entry.advance(3000ms);
        REQUIRE(entry.missed.size() == 1);
        CHECK(entry.missed[0].version == 3);

        // A new fault is logged again.
        entry.answer = cj::failure(cj::error_kind::unavailable, "gone");
        entry.advance(5000ms);
        CHECK(log.of("version_source_refused").size() == 2);
        CHECK(entry.newest == 3);
    }
}

SCENARIO("the same fault is logged once, although the rejected versions differ",
         "[fleet]")
{
    log_test::log_lines log;
    polling_entry entry;
    for (std::uint64_t step = 0; step < 10; ++step)
    {
        entry.answer = offer(5000 + step);
        entry.advance(1000ms);
    }
    CHECK(entry.polls() >= 8);
    CHECK(entry.missed.empty());
    CHECK(log.of("version_source_refused").size() == 1);
}

SCENARIO("a version that only the source has is reported once", "[fleet]")
{
    polling_entry entry;
    entry.answer = offer(2);
    entry.advance(5000ms);
    REQUIRE(entry.missed.empty());
    const auto confirmed = virtual_clock::now();
    const auto published_at = [&] { return entry.missed.at(0).published_at; };

    WHEN("the store shows it within a second")
    {
        entry.answer = offer(3);
        const auto before = entry.polls();
        while (entry.polls() == before)
            entry.advance(polling_entry::tick);
        entry.advance(800ms);
        entry.newest = 3;
        entry.advance(5000ms);
        THEN("it is not reported")
        {
            CHECK(entry.missed.empty());
        }
    }
    WHEN("the store does not show it")
    {
        entry.answer = offer(3);
        entry.advance(3000ms);
        THEN("it is reported once, with the time at which the source reported "
             "it")
        {
            REQUIRE(entry.missed.size() == 1);
            CHECK(entry.missed[0].model == "m");
            CHECK(entry.missed[0].version == 3);
            CHECK(published_at() > confirmed);
            CHECK(published_at() <= confirmed + 1000ms);
            entry.advance(10'000ms);
            CHECK(entry.missed.size() == 1);
            CHECK(entry.counters.text().find("versions_unheard_total 1") !=
                  std::string::npos);
        }
    }
    WHEN("the source was unavailable before it reported it")
    {
        entry.answer = cj::failure(cj::error_kind::unavailable, "away");
        entry.advance(20'000ms);
        entry.answer = offer(3);
        entry.advance(3000ms);
        THEN("it counts as published one second after the last confirmation")
        {
            REQUIRE(entry.missed.size() == 1);
            CHECK(published_at() <= confirmed + 1000ms);
            CHECK(published_at() > confirmed - 1000ms);
        }
    }
    WHEN("the source reports a newer one before the second is over")
    {
        entry.answer = offer(3);
        const auto before = entry.polls();
        while (entry.polls() == before)
            entry.advance(polling_entry::tick);
        entry.advance(600ms);
        entry.poller.request_recheck("test", virtual_clock::now());
        entry.answer = offer(4);
        entry.advance(300ms);
        // A regular poll, the poll to confirm its answer, and the recheck.
        REQUIRE(entry.polls() == before + 3);
        const auto reported = virtual_clock::now();
        THEN("the store has a second to show the newer one as well")
        {
            entry.advance(600ms);
            for (const auto& one : entry.missed)
                CHECK(one.version == 3);
            entry.newest = 4;
            entry.advance(3000ms);
            for (const auto& one : entry.missed)
                CHECK(one.version == 3);
        }
        THEN("the newer one is reported if the store does not show it")
        {
            entry.advance(2000ms);
            REQUIRE_FALSE(entry.missed.empty());
            CHECK(entry.missed.back().version == 4);
            CHECK(entry.missed.back().published_at <= reported);
            CHECK(entry.missed.size() <= 2);
        }
    }
}

SCENARIO("at most one poll per model is in flight", "[fleet]")
{
    polling_entry entry;
    entry.advance(3000ms);
    REQUIRE(entry.polls() == 1);
    CHECK(entry.source.addresses[0] == "10.0.0.9:80");
    CHECK(entry.source.models[0] == "m");

    WHEN("the answer takes long and a recheck is requested")
    {
        entry.poller.request_recheck("test", virtual_clock::now());
        entry.advance(10'000ms);
        for (int step = 0; step < 50; ++step)
        {
            virtual_clock::time() += polling_entry::tick;
            entry.poll_if_due("other");
        }
        THEN("the model is not polled again, and another model is polled once")
        {
            REQUIRE(entry.polls() == 2);
            CHECK(entry.source.models[1] == "other");
        }
        AND_WHEN("the answer arrives")
        {
            entry.reply(offer(2));
            THEN("the requested recheck follows at once")
            {
                entry.advance(200ms);
                REQUIRE(entry.polls() == 3);
                CHECK(entry.source.models[2] == "m");
            }
        }
    }
}

SCENARIO("later entries detect a version that the first cannot poll for",
         "[fleet]")
{
    const auto rank = GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{4});
    CAPTURE(rank);
    polling_entry entry;
    entry.rank = rank;
    entry.answer = offer(2);
    entry.advance(60'000ms);
    REQUIRE(entry.polls() > 0);
    entry.answer = offer(3);
    const auto interval = (rank + 1) * (rank + 1) * 1000ms;

    THEN("they report it within their own interval")
    {
        entry.advance(interval + 1200ms);
        REQUIRE(entry.missed.size() == 1);
        CHECK(entry.missed[0].version == 3);
    }
    THEN("they report it soon after a recheck is requested")
    {
        entry.poller.request_recheck("test", virtual_clock::now());
        // The report delay and ticks, a slot of 250 ms for each entry before
        // this one, and the widest random spread, (1 + rank / 2)^2 slots.
        entry.advance(1200ms + rank * 250ms +
                      (rank + 2) * (rank + 2) * 250ms / 4);
        CHECK(entry.missed.size() == 1);
    }
}

SCENARIO("a recheck waits for the slot of the rank, a confirmation does not",
         "[fleet]")
{
    polling_entry entry;
    entry.rank = 4;
    entry.answer = offer(2);
    entry.advance(60'000ms);
    const auto before = entry.polls();
    entry.poller.request_recheck("test", virtual_clock::now());
    entry.advance(900ms);
    CHECK(entry.polls() == before);
    entry.answer = offer(3);
    while (entry.polls() == before)
        entry.advance(polling_entry::tick);
    entry.advance(400ms);
    CHECK(entry.polls() == before + 2);
}

SCENARIO("answers that are expected to be large are polled for seldom from the "
         "start",
         "[fleet]")
{
    polling_entry entry;
    constexpr std::size_t many_chunks = 10'000;
    for (int step = 0; step < 600; ++step)
    {
        virtual_clock::time() += polling_entry::tick;
        entry.poller.poll_if_due(entry.from, {"m", 2, many_chunks, chunk_bytes},
                                 {0, 9}, virtual_clock::now());
        entry.reply(cj::failure(cj::error_kind::unavailable, "no answer"));
    }
    CHECK(entry.polls() <= 2);
}
