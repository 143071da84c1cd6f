#include "coursejunction/fleet/store_reader.hpp"

#include <memory>
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

    void watch(std::uint64_t after, cj::milliseconds, callback done)
    {
        watched_after.push_back(after);
        answer = std::move(done);
    }

    [[nodiscard]] std::chrono::microseconds distance() const { return 300us; }

    void fail(cj::error_kind kind)
    {
        const auto done = std::move(answer);
        done(cj::failure(kind, "no"));
    }

    void tell(cj::store_page page)
    {
        const auto done = std::move(answer);
        done(std::move(page));
    }

    int listings{0};
    std::vector<std::uint64_t> watched_after;
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
                          mirror.replace(page.items, page.revision, now);
                      else
                          mirror.apply(page.items, page.revision, now);
                  },
                  [&] { ++begun; }});
    const auto later = [&](std::chrono::milliseconds wait)
    { reader.consider({}, cj::event_loop::now() + wait); };

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
        WHEN("others read in its place")
        {
            wanted = false;
            store.tell({{}, 5});
            THEN("it ends after its watch")
            {
                CHECK_FALSE(reader.watching());
                CHECK(store.watched_after.size() == 1);
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
