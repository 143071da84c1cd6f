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
    static cj::time_point& moment()
    {
        static cj::time_point one{};
        return one;
    }
    static cj::time_point now() { return moment(); }
};

/*! @brief Notes the questions; a test answers them. */
struct noted_source
{
    using answer = cj::result<cj::offered_version>;

    void newest(const std::string& address, const std::string& model,
                std::function<void(answer)> done)
    {
        addresses.push_back(address);
        models.push_back(model);
        open.push_back(std::move(done));
    }

    std::vector<std::string> addresses;
    std::vector<std::string> models;
    std::vector<std::function<void(answer)>> open;
};

static_assert(cj::Version_source<noted_source>);

noted_source::answer offers(std::uint64_t version)
{
    return cj::offered_version{version, chunks, chunk_bytes, 300};
}

/*! @brief One entry that asks, in virtual time. */
class asker
{
public:
    asker()
        : inquiry(source, counters, 7,
                  [this](const cj::missed_version& one)
                  {
                      news.push_back(one);
                      newest = std::max(newest, one.version);
                  })
    {
        virtual_clock::moment() = cj::time_point{100s};
        from.origin = "10.0.0.9:80";
        from.origin_rate = 1'250'000;
    }

    /*! @brief Lets time go by; questions are answered at once while there is an
     * answer. */
    void pass(cj::milliseconds longest)
    {
        for (cj::milliseconds passed{0}; passed < longest; passed += tick)
        {
            virtual_clock::moment() += tick;
            look("m");
            if (answer)
                reply(*answer);
        }
    }

    void look(const std::string& model)
    {
        inquiry.poll_if_due(from, {model, newest, chunks, chunk_bytes},
                            {rank, 9}, virtual_clock::now());
    }

    /*! @brief Answers the questions that are open. */
    void reply(const noted_source::answer& with)
    {
        const auto now = std::exchange(source.open, {});
        for (const auto& done : now)
            done(with);
    }

    [[nodiscard]] std::size_t questions() const { return source.models.size(); }

    static constexpr cj::milliseconds tick{100};
    noted_source source;
    cj::metrics counters;
    cj::service_profile from;
    std::uint64_t newest{2}; /*!< That the store shows or others told. */
    std::size_t rank{0};
    std::optional<noted_source::answer> answer;
    std::vector<cj::missed_version> news;
    cj::version_poller<noted_source, virtual_clock> inquiry;
};

/*! @brief An answer that is not to be believed, and what is logged of it. */
struct bad_answer
{
    std::string name;
    noted_source::answer answer;
    std::string why;
};

std::vector<bad_answer> bad_answers()
{
    const auto other = [](std::size_t count, std::size_t bytes) {
        return cj::offered_version{3, count, bytes, 300};
    };
    return {
        {"no answer", cj::failure(cj::error_kind::unavailable, "no answer"),
         "no answer"},
        {"one that can't be read",
         cj::failure(cj::error_kind::refused, "no JSON"), "no JSON"},
        {"410", cj::failure(cj::error_kind::unavailable, "status 410"),
         "status 410"},
        {"a redirect", cj::failure(cj::error_kind::unavailable, "status 302"),
         "status 302"},
        {"an older version", offers(1), "older"},
        {"no version", offers(0), "older"},
        {"one that is far ahead", offers(2 + cj::max_version_step + 1),
         "implausible"},
        {"the highest number", offers(~std::uint64_t{0}), "implausible"},
        {"more chunks than the model has", other(chunks + 1, chunk_bytes),
         "do not fit"},
        {"chunks of another size", other(chunks, chunk_bytes * 2),
         "do not fit"},
        {"no chunks", other(0, 0), "do not fit"},
    };
}

} // namespace

SCENARIO("a source that fails or lies takes nothing back", "[fleet]")
{
    for (const auto& bad : bad_answers())
    {
        INFO(bad.name);
        log_test::log_lines log;
        asker entry;
        entry.answer = bad.answer;
        entry.pass(10'000ms);

        // Nothing is told, one line says why, and asking goes on.
        CHECK(entry.news.empty());
        CHECK(entry.newest == 2);
        CHECK(entry.questions() >= 8);
        CHECK(entry.questions() <= 11);
        REQUIRE(log.of("version_source_refused").size() == 1);
        CHECK(log.of("version_source_refused")[0].find(bad.why) !=
              std::string::npos);
        const auto refused = std::to_string(entry.questions());
        CHECK(entry.counters.text().find(
                  "version_inquiries_total{result=\"refused\"} " + refused) !=
              std::string::npos);

        // It is believed as soon as it tells what can be.
        entry.answer = offers(3);
        entry.pass(3000ms);
        REQUIRE(entry.news.size() == 1);
        CHECK(entry.news[0].version == 3);

        // A fault that comes again is told again.
        entry.answer = cj::failure(cj::error_kind::unavailable, "gone");
        entry.pass(5000ms);
        CHECK(log.of("version_source_refused").size() == 2);
        CHECK(entry.newest == 3);
    }
}

SCENARIO("a source that tells other nonsense each time is logged once",
         "[fleet]")
{
    log_test::log_lines log;
    asker entry;
    for (std::uint64_t wrong = 0; wrong < 10; ++wrong)
    {
        entry.answer = offers(5000 + wrong);
        entry.pass(1000ms);
    }
    CHECK(entry.questions() >= 8);
    CHECK(entry.news.empty());
    CHECK(log.of("version_source_refused").size() == 1);
}

SCENARIO("what only the source tells is told once", "[fleet]")
{
    asker entry;
    entry.answer = offers(2);
    entry.pass(5000ms);
    REQUIRE(entry.news.empty());
    const auto named = virtual_clock::now();
    const auto seen_at = [&] { return entry.news.at(0).published_at; };

    WHEN("the store shows it within a second")
    {
        entry.answer = offers(3);
        const auto before = entry.questions();
        while (entry.questions() == before)
            entry.pass(asker::tick);
        entry.pass(800ms);
        entry.newest = 3;
        entry.pass(5000ms);
        THEN("it is not told")
        {
            CHECK(entry.news.empty());
        }
    }
    WHEN("the store does not show it")
    {
        entry.answer = offers(3);
        entry.pass(3000ms);
        THEN("it is told once, with the time at which the source told it")
        {
            REQUIRE(entry.news.size() == 1);
            CHECK(entry.news[0].model == "m");
            CHECK(entry.news[0].version == 3);
            CHECK(seen_at() > named);
            CHECK(seen_at() <= named + 1000ms);
            entry.pass(10'000ms);
            CHECK(entry.news.size() == 1);
            CHECK(entry.counters.text().find("versions_unheard_total 1") !=
                  std::string::npos);
        }
    }
    WHEN("the source was away before it told it")
    {
        entry.answer = cj::failure(cj::error_kind::unavailable, "away");
        entry.pass(20'000ms);
        entry.answer = offers(3);
        entry.pass(3000ms);
        THEN("it counts as named one second after the source last told none")
        {
            REQUIRE(entry.news.size() == 1);
            CHECK(seen_at() <= named + 1000ms);
            CHECK(seen_at() > named - 1000ms);
        }
    }
    WHEN("a newer one is told before the second is over")
    {
        entry.answer = offers(3);
        const auto before = entry.questions();
        while (entry.questions() == before)
            entry.pass(asker::tick);
        entry.pass(600ms);
        entry.inquiry.request_recheck("a test", virtual_clock::now());
        entry.answer = offers(4);
        entry.pass(300ms);
        // Asked, asked again as each newer version is, and asked in doubt.
        REQUIRE(entry.questions() == before + 3);
        const auto told = virtual_clock::now();
        THEN("the store has a second to show that one as well")
        {
            entry.pass(600ms);
            for (const auto& one : entry.news)
                CHECK(one.version == 3);
            entry.newest = 4;
            entry.pass(3000ms);
            for (const auto& one : entry.news)
                CHECK(one.version == 3);
        }
        THEN("it is told when the store does not")
        {
            entry.pass(2000ms);
            REQUIRE_FALSE(entry.news.empty());
            CHECK(entry.news.back().version == 4);
            CHECK(entry.news.back().published_at <= told);
            CHECK(entry.news.size() <= 2);
        }
    }
}

SCENARIO("an entry has one question of a model on its way", "[fleet]")
{
    asker entry;
    entry.pass(3000ms);
    REQUIRE(entry.questions() == 1);
    CHECK(entry.source.addresses[0] == "10.0.0.9:80");
    CHECK(entry.source.models[0] == "m");

    WHEN("the answer takes long and there is doubt")
    {
        entry.inquiry.request_recheck("a test", virtual_clock::now());
        entry.pass(10'000ms);
        for (int turn = 0; turn < 50; ++turn)
        {
            virtual_clock::moment() += asker::tick;
            entry.look("other");
        }
        THEN("it is not asked again, and another model is asked once")
        {
            REQUIRE(entry.questions() == 2);
            CHECK(entry.source.models[1] == "other");
        }
        AND_WHEN("it has come")
        {
            entry.reply(offers(2));
            THEN("what was doubted meanwhile is asked at once")
            {
                entry.pass(200ms);
                REQUIRE(entry.questions() == 3);
                CHECK(entry.source.models[2] == "m");
            }
        }
    }
}

SCENARIO("the next entries go on when the first cannot reach the source",
         "[fleet]")
{
    const auto rank = GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{4});
    CAPTURE(rank);
    asker entry;
    entry.rank = rank;
    entry.answer = offers(2);
    entry.pass(60'000ms);
    REQUIRE(entry.questions() > 0);
    entry.answer = offers(3);
    const auto interval = (rank + 1) * (rank + 1) * 1000ms;

    THEN("they know within their own interval")
    {
        entry.pass(interval + 1200ms);
        REQUIRE(entry.news.size() == 1);
        CHECK(entry.news[0].version == 3);
    }
    THEN("they know soon after a doubt")
    {
        entry.inquiry.request_recheck("a test", virtual_clock::now());
        entry.pass(1200ms + rank * 250ms + (rank + 2) * (rank + 2) * 250ms / 4);
        CHECK(entry.news.size() == 1);
    }
}

SCENARIO("a doubt waits for an entry's turn, a second answer does not",
         "[fleet]")
{
    asker entry;
    entry.rank = 4;
    entry.answer = offers(2);
    entry.pass(60'000ms);
    const auto before = entry.questions();
    entry.inquiry.request_recheck("a test", virtual_clock::now());
    entry.pass(900ms);
    CHECK(entry.questions() == before);
    entry.answer = offers(3);
    while (entry.questions() == before)
        entry.pass(asker::tick);
    entry.pass(400ms);
    CHECK(entry.questions() == before + 2);
}

SCENARIO("answers that are expected to be long are asked for seldom from the "
         "start",
         "[fleet]")
{
    asker entry;
    constexpr std::size_t many = 10'000;
    for (int turn = 0; turn < 600; ++turn)
    {
        virtual_clock::moment() += asker::tick;
        entry.inquiry.poll_if_due(entry.from, {"m", 2, many, chunk_bytes},
                                  {0, 9}, virtual_clock::now());
        entry.reply(cj::failure(cj::error_kind::unavailable, "no answer"));
    }
    CHECK(entry.questions() <= 2);
}
