#include "coursejunction/fleet/store_reader.hpp"

#include <memory>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Notes the calls; a test answers them. */
struct scripted_store
{
    using callback = std::function<void(cj::result<cj::store_page>)>;

    void list(callback done)
    {
        ++listings;
        answer = std::move(done);
    }

    void watch(std::uint64_t after, cj::milliseconds wait, callback done)
    {
        watched_after.push_back(after);
        waited.push_back(wait);
        answer = std::move(done);
    }

    void cancel()
    {
        ++cancelled;
        answer = nullptr;
    }

    [[nodiscard]] std::chrono::microseconds distance() const { return 300us; }

    void fail(cj::error_kind kind)
    {
        const auto done = std::exchange(answer, nullptr);
        done(cj::failure(kind, "no"));
    }

    void tell(cj::store_page page)
    {
        const auto done = std::exchange(answer, nullptr);
        done(std::move(page));
    }

    int listings{0};
    int cancelled{0};
    std::vector<std::uint64_t> watched_after;
    std::vector<cj::milliseconds> waited;
    callback answer;
};

} // namespace

SCENARIO("the whole store is listed only by whoever knows nothing of it",
         "[fleet]")
{
    cj::event_loop loop;
    scripted_store store;
    cj::metrics counters;
    cj::store_mirror mirror;
    cj::store_reader<scripted_store> reader(loop, store, counters, mirror, 1);
    bool wanted = true;
    int begun = 0;
    const auto now = cj::event_loop::now();
    reader.start({[&] { return wanted; },
                  [&](const cj::store_page& page, bool whole)
                  {
                      if (whole)
                          mirror.replace(page.items, page.position, now);
                      else
                          mirror.apply(page.items, page.position, now);
                  },
                  [&] { ++begun; }});
    const auto later = [&](std::chrono::milliseconds wait)
    { reader.poll({}, cj::event_loop::now() + wait); };

    GIVEN("a process that has just started")
    {
        later(0ms);
        CHECK(store.listings == 1);
        CHECK(begun == 1);
        CHECK(reader.fetching());
        store.tell({{{"a", "1", 5, 0, false}}, 5});
        THEN("it watches on from there, once")
        {
            CHECK(reader.watching());
            CHECK(store.watched_after == std::vector<std::uint64_t>{5});
            later(10s);
            CHECK(store.watched_after.size() == 1);
        }
        WHEN("the watch fails")
        {
            store.fail(cj::error_kind::unavailable);
            CHECK_FALSE(reader.watching());
            THEN("it waits, and watches on instead of listing again")
            {
                later(0ms);
                CHECK(store.watched_after.size() == 1);
                later(300ms);
                CHECK(store.watched_after == std::vector<std::uint64_t>{5, 5});
                CHECK(store.listings == 1);
            }
        }
        WHEN("the store has forgotten its history")
        {
            store.fail(cj::error_kind::not_found);
            THEN("it lists anew when nobody told it more meanwhile")
            {
                later(0ms);
                CHECK(store.listings == 2);
            }
            THEN("it watches on where a peer told it more")
            {
                mirror.apply({{"a", "2", 8, 0, false}}, 8, now);
                later(0ms);
                CHECK(store.listings == 1);
                CHECK(store.watched_after.back() == 8);
            }
        }
        WHEN("the answer of a watch keeps coming")
        {
            // It holds every value that was written: behind a link an answer of
            // 45 MB filled it for 15 s, where a listing had 2.3 MB.
            later(2600ms);
            CHECK(store.cancelled == 0);
            later(2800ms);
            CHECK(store.cancelled == 1);
            CHECK_FALSE(reader.watching());
            THEN("the store is listed instead, to the end")
            {
                later(2800ms);
                CHECK(store.listings == 2);
                later(20s);
                CHECK(store.cancelled == 1);
                AND_THEN("or until peers have told more")
                {
                    mirror.apply({{"a", "2", 8, 0, false, {}, 0}}, 8, now);
                    later(20s);
                    CHECK(store.cancelled == 2);
                }
            }
            THEN("a watch goes on where peers told more meanwhile")
            {
                mirror.apply({{"a", "2", 8, 0, false, {}, 0}}, 8, now);
                later(2800ms);
                CHECK(store.listings == 1);
                CHECK(store.watched_after == std::vector<std::uint64_t>{5, 8});
            }
        }
        WHEN("others read in its place")
        {
            wanted = false;
            store.tell({{}, 5});
            THEN("it ends after its watch")
            {
                CHECK_FALSE(reader.watching());
                CHECK(store.watched_after.size() == 1);
            }
            AND_WHEN("it is its turn again, long after")
            {
                wanted = true;
                later(0ms);
                REQUIRE(store.watched_after.size() == 2);
                THEN("it does not tell that it watches before it gets through")
                {
                    CHECK_FALSE(reader.watching());
                    CHECK(store.waited.back() ==
                          cj::store_reader<scripted_store>::probe_wait);
                }
            }
        }
        WHEN("the store forgets its history again and again")
        {
            THEN("the whole is not listed again and again without a pause")
            {
                for (int at = 0; at < 10 && store.answer; ++at)
                {
                    if (at % 2 == 0)
                        store.fail(cj::error_kind::not_found);
                    else
                        store.tell({{}, std::uint64_t(5 + at)});
                    later(0ms);
                }
                CHECK(store.listings <= 3);
            }
        }
    }
    GIVEN("a process that a peer told the state of the store")
    {
        mirror.apply({{"a", "1", 7, 0, false}}, 7, now);
        later(0ms);
        CHECK(store.listings == 0);
        CHECK(store.watched_after == std::vector<std::uint64_t>{7});
    }
}
