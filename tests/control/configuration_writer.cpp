#include "coursejunction/control/configuration_writer.hpp"

#include <array>
#include <deque>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/control/configuration_view.hpp"

namespace cj = coursejunction;

namespace
{

cj::configuration_change create(const std::string& name)
{
    cj::configuration_change change;
    change.name = cj::deployment_name(name);
    change.spec.name = change.name;
    change.spec.model = "m";
    change.spec.version = cj::digest::of("v");
    change.spec.placements.push_back({cj::hall_id("north"), 1, {}});
    return change;
}

/*! @brief Fault that the fake store injects into one call. */
enum class fault
{
    none,
    not_sent,      /*!< The call is not sent. */
    lose_response, /*!< Carried out, but the response is lost. */
    lose_request,  /*!< Not carried out, and the caller can't know that. */
    delayed        /*!< Carried out at the next call, response lost. */
};

/*! @brief A `Configuration_store` in memory that injects faults in a given
 * order. */
class fake_store
{
public:
    void read(const std::function<void(cj::result<cj::stored_value>)>& done)
    {
        const auto injected = next_fault();
        apply_delayed();
        if (injected != fault::none)
            return done(cj::failure(cj::error_kind::unavailable, "down"));
        if (stale_reads == 0)
            return done(value);
        --stale_reads;
        done(snapshot);
    }

    void compare_and_swap(std::uint64_t index, const std::string& text,
                          const std::function<void(cj::swap_outcome)>& done)
    {
        const auto injected = next_fault();
        apply_delayed();
        ++swaps;
        if (rivals > 0)
            write_as_other("rival" + std::to_string(rivals--));
        if (injected == fault::not_sent)
            return done(cj::swap_outcome::not_sent);
        if (injected == fault::lose_request)
            return done(cj::swap_outcome::unknown);
        if (injected == fault::delayed)
        {
            delayed_write = {index, text};
            return done(cj::swap_outcome::unknown);
        }
        const bool swapped = apply(index, text);
        if (injected == fault::lose_response)
            return done(cj::swap_outcome::unknown);
        done(swapped ? cj::swap_outcome::swapped : cj::swap_outcome::lost_race);
    }

    void retry_later(const std::function<void()>& task)
    {
        ++pauses;
        task();
    }

    bool deadline_passed() const { return pauses >= max_pauses; }

    bool apply(std::uint64_t index, const std::string& text)
    {
        if (index != value.index)
            return false;
        value = {value.index + 1, text};
        return true;
    }

    void take_snapshot() { snapshot = value; }

    /*! @brief Rolls the store back to the snapshot: later writes are lost, and
     * their indices are assigned again. */
    void roll_back() { value = snapshot; }

    /*! @brief Creates another deployment as another writer. */
    void write_as_other(const std::string& name)
    {
        auto stored = value.index == 0
                          ? cj::configuration()
                          : cj::configuration::parse(value.text).value();
        apply(value.index,
              stored.apply(create(name), cj::write_id("other-" + name))
                  .value()
                  .to_json());
    }

    void apply_delayed()
    {
        if (!delayed_write)
            return;
        apply(delayed_write->index, delayed_write->text);
        delayed_write.reset();
    }

    cj::stored_value value;
    cj::stored_value snapshot;
    std::deque<fault> faults;
    std::optional<cj::stored_value> delayed_write;
    int pauses{0};
    int max_pauses{20}; /*!< Pauses until the deadline has passed. */
    int rivals{0};      /*!< Other writers; each writes before one swap. */
    int swaps{0};
    int stale_reads{0}; /*!< Reads answered from the snapshot. */

private:
    fault next_fault()
    {
        if (faults.empty())
            return fault::none;
        const auto injected = faults.front();
        faults.pop_front();
        return injected;
    }
};

cj::write_result write(fake_store& store, const std::string& name,
                       const cj::configuration& known = {})
{
    std::optional<cj::write_result> got;
    cj::configuration_writer<fake_store>::start(
        store, create(name), cj::write_id("write-" + name), known,
        [&](cj::write_result written) { got.emplace(std::move(written)); });
    REQUIRE(got);
    return *got;
}

bool stored(const fake_store& store, const std::string& name)
{
    if (store.value.index == 0)
        return false;
    return cj::configuration::parse(store.value.text)
               .value()
               .find(cj::deployment_name(name)) != nullptr;
}

} // namespace

SCENARIO("a configuration write reports a certain result or unknown",
         "[control]")
{
    fake_store store;
    GIVEN("a service that responds")
    {
        CHECK(write(store, "tutor").outcome);
        CHECK(stored(store, "tutor"));
    }
    GIVEN("a response lost after the write took effect")
    {
        store.faults = {fault::none, fault::lose_response};
        const auto got = write(store, "tutor");
        THEN("the write is reported as accepted and applied only once")
        {
            REQUIRE(got.outcome);
            CHECK(got.outcome.value().current_revision() == cj::revision(1));
        }
    }
    GIVEN("a lost response, then an outage beyond the deadline")
    {
        store.faults = {fault::none, fault::lose_response};
        store.faults.insert(store.faults.end(), 100, fault::not_sent);
        const auto got = write(store, "tutor");
        THEN("the result is unknown")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unknown);
        }
    }
    GIVEN("an outage from the start")
    {
        store.faults.assign(100, fault::not_sent);
        const auto got = write(store, "tutor");
        THEN("the write fails as unavailable, with nothing stored")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unavailable);
            CHECK_FALSE(stored(store, "tutor"));
        }
    }
    GIVEN("another writer that has changed something else")
    {
        store.write_as_other("notes");
        CHECK(write(store, "tutor").outcome);
        CHECK(stored(store, "notes"));
    }
    GIVEN("one stale read, older than the known configuration")
    {
        const auto known = write(store, "notes").outcome.value();
        write(store, "ledger", known);
        store.stale_reads = 1;
        const auto got = write(store, "tutor", known);
        THEN("the write is not based on the stale value")
        {
            REQUIRE(got.outcome);
            CHECK(got.outcome.value().current_revision() == cj::revision(3));
            CHECK(store.value.index == 3);
            CHECK(stored(store, "notes"));
            CHECK(stored(store, "ledger"));
            CHECK(stored(store, "tutor"));
        }
    }
    GIVEN("only stale reads, older than the known configuration")
    {
        const auto known = write(store, "notes").outcome.value();
        store.stale_reads = 100;
        const auto got = write(store, "tutor", known);
        THEN("the write fails as unavailable, with nothing stored")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unavailable);
            CHECK_FALSE(stored(store, "tutor"));
        }
    }
}

// The service acknowledges changes and is then restored from an older copy that
// lacks them. A writer that mistook the older value for a stale read would fail
// every later change.
SCENARIO("writes succeed after a rollback of the service", "[control]")
{
    fake_store store;
    write(store, "notes");
    store.take_snapshot();
    const auto known = write(store, "ledger").outcome.value();
    store.roll_back();
    REQUIRE_FALSE(stored(store, "ledger"));

    WHEN("the next change is written")
    {
        const auto got = write(store, "tutor", known);
        THEN("it is accepted and the lost change is written with it")
        {
            REQUIRE(got.outcome);
            CHECK(got.outcome.value().current_revision() == cj::revision(3));
            CHECK(got.outcome.value().descends_from(known));
            CHECK(stored(store, "notes"));
            CHECK(stored(store, "ledger"));
            CHECK(stored(store, "tutor"));
        }
    }
    WHEN("a writer that knows only the copy writes first")
    {
        const auto other = write(store, "other").outcome.value();
        CHECK(other.current_revision() == known.current_revision());
        const auto got = write(store, "tutor", known);
        THEN("no acknowledged change is lost")
        {
            REQUIRE(got.outcome);
            CHECK(got.outcome.value().descends_from(known));
            CHECK(got.outcome.value().descends_from(other));
            CHECK(stored(store, "ledger"));
            CHECK(stored(store, "other"));
            CHECK(stored(store, "tutor"));
        }
    }
}

// Another writer changes the configuration before each swap, so that each swap
// fails. A writer that retried immediately would transfer the whole
// configuration over and over, fill the link that all writers share, and never
// end while the others go on.
SCENARIO("a writer that lost the race pauses before the next attempt",
         "[control]")
{
    fake_store store;
    GIVEN("three writers that are faster")
    {
        store.rivals = 3;
        const auto got = write(store, "tutor");
        THEN("the write is accepted after three pauses")
        {
            CHECK(got.outcome);
            CHECK(stored(store, "tutor"));
            CHECK(store.pauses == 3);
        }
    }
    GIVEN("another writer before every swap")
    {
        store.rivals = 200;
        const auto got = write(store, "tutor");
        THEN("the write fails as unavailable by the deadline")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unavailable);
            CHECK_FALSE(stored(store, "tutor"));
            CHECK(store.swaps <= store.max_pauses + 1);
        }
    }
}

TEST_CASE("the reported result is true under any faults", "[control]")
{
    rc::prop("accepted means stored, failed means not stored",
             [](const std::vector<std::uint8_t>& numbers)
             {
                 fake_store store;
                 for (const auto number : numbers)
                     store.faults.push_back(static_cast<fault>(number % 5));
                 const auto got = write(store, "tutor");
                 store.apply_delayed();
                 if (got.outcome)
                     RC_ASSERT(stored(store, "tutor"));
                 else if (got.outcome.error().kind != cj::error_kind::unknown)
                     RC_ASSERT(!stored(store, "tutor"));
                 // Applied at most once, however often it was attempted.
                 RC_ASSERT(store.value.index <= 1U);
             });
    rc::prop(
        "the revision of a view never decreases",
        [](const std::vector<std::uint8_t>& order)
        {
            std::vector<cj::configuration> all(1);
            for (int at = 0; at < 8; ++at)
                all.push_back(all.back()
                                  .apply(create("d" + std::to_string(at)), {})
                                  .value());
            cj::configuration_view view;
            std::uint64_t highest = 0;
            for (const auto at : order)
            {
                const auto& offered = all[at % all.size()];
                view.offer(offered);
                highest = std::max(highest, offered.current_revision().value());
                RC_ASSERT(view.current().current_revision().value() == highest);
            }
        });
}

namespace
{

std::optional<cj::configuration> restore(fake_store& store,
                                         const cj::configuration& known)
{
    std::optional<cj::configuration> got;
    cj::configuration_writer<fake_store>::restore(
        store, known, cj::write_id(cj::random_id()),
        [&](const cj::write_result& written)
        {
            INFO((written.outcome ? "" : written.outcome.error().message));
            REQUIRE(written.outcome);
            got = written.outcome.value();
        });
    return got;
}

} // namespace

SCENARIO("a restore writes back what the service lost", "[control]")
{
    fake_store store;
    write(store, "notes");
    store.take_snapshot();
    const auto known = write(store, "ledger").outcome.value();
    GIVEN("a service that has lost nothing")
    {
        const auto swaps = store.swaps;
        CHECK(restore(store, known)->current_revision() ==
              known.current_revision());
        THEN("nothing is written")
        {
            CHECK(store.swaps == swaps);
        }
    }
    GIVEN("a service that was rolled back")
    {
        store.roll_back();
        WHEN("two processes restore the lost change")
        {
            CHECK(restore(store, known)->current_revision() ==
                  known.current_revision());
            const auto swaps = store.swaps;
            CHECK(restore(store, known)->current_revision() ==
                  known.current_revision());
            THEN("only the first one writes, and the value is as before")
            {
                CHECK(store.value.text == known.to_json());
                CHECK(store.swaps == swaps);
            }
        }
        WHEN("a response is lost and a read fails")
        {
            store.faults = {fault::none, fault::lose_response, fault::not_sent};
            CHECK(restore(store, known)->current_revision() ==
                  known.current_revision());
            CHECK(store.value.text == known.to_json());
        }
    }
}

TEST_CASE("no acknowledged change is lost by rollbacks", "[control]")
{
    rc::prop(
        "all views agree after restores and hold every accepted change",
        [](const std::vector<std::uint8_t>& steps)
        {
            constexpr std::size_t count = 3;
            fake_store store;
            std::array<cj::configuration_view, count> views;
            std::vector<std::string> accepted;
            for (const auto step : steps)
            {
                auto& view = views[step % count];
                switch (step / count % 6)
                {
                case 0:
                    store.take_snapshot();
                    break;
                case 1:
                    store.roll_back();
                    break;
                case 2:
                    view.offer(views[(step + 1) % count].current());
                    break;
                case 3:
                    if (store.value.index != 0)
                        view.offer(store.value.text).value();
                    break;
                default:
                    accepted.push_back("d" + std::to_string(accepted.size()));
                    view.offer(write(store, accepted.back(), view.current())
                                   .outcome.value());
                    break;
                }
            }
            for (std::size_t at = 0; at < 2 * count; ++at)
                views[at % count].offer(
                    *restore(store, views[at % count].current()));
            for (const auto& view : views)
            {
                RC_ASSERT(view.json_text() == views[0].json_text());
                for (const auto& name : accepted)
                    RC_ASSERT(view.current().find(cj::deployment_name(name)) !=
                              nullptr);
            }
        });
}
