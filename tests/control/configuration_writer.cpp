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

/*! @brief What the fake service does with one call. */
enum class fault
{
    none,
    refuse,       /*!< Not sent. */
    lose_answer,  /*!< Carried out, answer lost. */
    lose_request, /*!< Not carried out, answer lost. */
    late          /*!< Carried out only after the next call. */
};

/*! @brief The one key, in memory, with faults in a given order. */
class fake_store
{
public:
    void read(const std::function<void(cj::result<cj::stored_value>)>& done)
    {
        const auto what = next();
        settle_late();
        if (what != fault::none)
            return done(cj::failure(cj::error_kind::unavailable, "down"));
        if (stale_reads == 0)
            return done(value);
        --stale_reads;
        done(copy);
    }

    void compare_and_swap(std::uint64_t index, const std::string& text,
                          const std::function<void(cj::swap_outcome)>& done)
    {
        const auto what = next();
        settle_late();
        ++swaps;
        if (rivals > 0)
            interfere("rival" + std::to_string(rivals--));
        if (what == fault::refuse)
            return done(cj::swap_outcome::not_sent);
        if (what == fault::lose_request)
            return done(cj::swap_outcome::unknown);
        if (what == fault::late)
        {
            late = {index, text};
            return done(cj::swap_outcome::unknown);
        }
        const bool swapped = apply(index, text);
        if (what == fault::lose_answer)
            return done(cj::swap_outcome::unknown);
        done(swapped ? cj::swap_outcome::swapped : cj::swap_outcome::lost_race);
    }

    void retry_later(const std::function<void()>& task)
    {
        ++waits;
        task();
    }

    bool deadline_passed() const { return waits >= patience; }

    bool apply(std::uint64_t index, const std::string& text)
    {
        if (index != value.index)
            return false;
        value = {value.index + 1, text};
        return true;
    }

    void take_copy() { copy = value; }

    /*! @brief Comes back from the copy: later writes are gone, and their
     * indices are given out again. */
    void restore() { value = copy; }

    /*! @brief Another writer changes something else in between. */
    void interfere(const std::string& name)
    {
        auto now = value.index == 0
                       ? cj::configuration()
                       : cj::configuration::parse(value.text).value();
        apply(value.index,
              now.apply(create(name), cj::write_id("other-" + name))
                  .value()
                  .to_json());
    }

    void settle_late()
    {
        if (!late)
            return;
        apply(late->index, late->text);
        late.reset();
    }

    cj::stored_value value;
    cj::stored_value copy;
    std::deque<fault> faults;
    std::optional<cj::stored_value> late;
    int waits{0};
    int patience{20};
    int rivals{0}; /*!< Others who each write just before one of our swaps. */
    int swaps{0};
    int stale_reads{0}; /*!< Reads that are answered from the copy. */

private:
    fault next()
    {
        if (faults.empty())
            return fault::none;
        const auto what = faults.front();
        faults.pop_front();
        return what;
    }
};

cj::write_result write(fake_store& store, const std::string& name,
                       const cj::configuration& known = {})
{
    std::optional<cj::write_result> got;
    cj::configuration_writer<fake_store>::start(
        store, create(name), cj::write_id("write-" + name), known,
        [&](cj::write_result end) { got.emplace(std::move(end)); });
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

SCENARIO("a write finds out what became of it", "[control]")
{
    fake_store store;
    GIVEN("a service that answers")
    {
        CHECK(write(store, "tutor").outcome);
        CHECK(stored(store, "tutor"));
    }
    GIVEN("an answer lost after the write took effect")
    {
        store.faults = {fault::none, fault::lose_answer};
        const auto got = write(store, "tutor");
        THEN("it is accepted once")
        {
            REQUIRE(got.outcome);
            CHECK(got.outcome.value().current_revision() == cj::revision(1));
        }
    }
    GIVEN("a lost answer, and then an outage that lasts")
    {
        store.faults = {fault::none, fault::lose_answer};
        store.faults.insert(store.faults.end(), 100, fault::refuse);
        const auto got = write(store, "tutor");
        THEN("the operator is told that it is unknown")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unknown);
        }
    }
    GIVEN("an outage from the start")
    {
        store.faults.assign(100, fault::refuse);
        const auto got = write(store, "tutor");
        THEN("the operator is told that nothing was changed")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unavailable);
            CHECK_FALSE(stored(store, "tutor"));
        }
    }
    GIVEN("another operator who changes something else in between")
    {
        store.interfere("notes");
        CHECK(write(store, "tutor").outcome);
        CHECK(stored(store, "notes"));
    }
    GIVEN("a read that is older than what is in force")
    {
        const auto known = write(store, "notes").outcome.value();
        write(store, "ledger", known);
        store.stale_reads = 1;
        const auto got = write(store, "tutor", known);
        THEN("it is not built on")
        {
            REQUIRE(got.outcome);
            CHECK(got.outcome.value().current_revision() == cj::revision(3));
            CHECK(store.value.index == 3);
            CHECK(stored(store, "notes"));
            CHECK(stored(store, "ledger"));
            CHECK(stored(store, "tutor"));
        }
    }
    GIVEN("nothing but reads that are older than what is in force")
    {
        const auto known = write(store, "notes").outcome.value();
        store.stale_reads = 100;
        const auto got = write(store, "tutor", known);
        THEN("the operator is told that nothing was changed")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unavailable);
            CHECK_FALSE(stored(store, "tutor"));
        }
    }
}

// The service acknowledges changes, goes away and comes back from a copy that
// lacks them. If a writer took its older value for a stale read, every change
// would be refused from then on.
SCENARIO("a writer goes on when the service comes back older", "[control]")
{
    fake_store store;
    write(store, "notes");
    store.take_copy();
    const auto known = write(store, "ledger").outcome.value();
    store.restore();
    REQUIRE_FALSE(stored(store, "ledger"));

    WHEN("an operator makes the next change")
    {
        const auto got = write(store, "tutor", known);
        THEN("it is accepted, and what was lost is written with it")
        {
            REQUIRE(got.outcome);
            CHECK(got.outcome.value().current_revision() == cj::revision(3));
            CHECK(got.outcome.value().descends_from(known));
            CHECK(stored(store, "notes"));
            CHECK(stored(store, "ledger"));
            CHECK(stored(store, "tutor"));
        }
    }
    WHEN("somebody who knows only the copy was faster")
    {
        const auto other = write(store, "other").outcome.value();
        CHECK(other.current_revision() == known.current_revision());
        const auto got = write(store, "tutor", known);
        THEN("nothing that was acknowledged is lost")
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

// Others change the configuration just before each of our writes, so that each
// comes too late. A writer that read and wrote the whole again at once would
// keep the link full that all of them need, for as long as the others go on,
// and its operator would wait without an end.
SCENARIO("a writer that comes too late rests before it tries again",
         "[control]")
{
    fake_store store;
    GIVEN("three others who are faster")
    {
        store.rivals = 3;
        const auto got = write(store, "tutor");
        THEN("the write is accepted, after a pause for each of them")
        {
            CHECK(got.outcome);
            CHECK(stored(store, "tutor"));
            CHECK(store.waits == 3);
        }
    }
    GIVEN("others who are faster all the time")
    {
        store.rivals = 200;
        const auto got = write(store, "tutor");
        THEN("the operator is told in time that nothing was changed")
        {
            REQUIRE_FALSE(got.outcome);
            CHECK(got.outcome.error().kind == cj::error_kind::unavailable);
            CHECK_FALSE(stored(store, "tutor"));
            CHECK(store.swaps <= store.patience + 1);
        }
    }
}

TEST_CASE("what a writer says is true under any faults", "[control]")
{
    rc::prop("accepted means stored, refused means not stored",
             [](const std::vector<std::uint8_t>& numbers)
             {
                 fake_store store;
                 for (const auto number : numbers)
                     store.faults.push_back(static_cast<fault>(number % 5));
                 const auto got = write(store, "tutor");
                 store.settle_late();
                 if (got.outcome)
                     RC_ASSERT(stored(store, "tutor"));
                 else if (got.outcome.error().kind != cj::error_kind::unknown)
                     RC_ASSERT(!stored(store, "tutor"));
                 // Once only, whatever was tried again.
                 RC_ASSERT(store.value.index <= 1U);
             });
    rc::prop(
        "a view's revision never falls",
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
        [&](const cj::write_result& end)
        {
            INFO((end.outcome ? "" : end.outcome.error().message));
            REQUIRE(end.outcome);
            got = end.outcome.value();
        });
    return got;
}

} // namespace

SCENARIO("what the service lost is written again", "[control]")
{
    fake_store store;
    write(store, "notes");
    store.take_copy();
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
    GIVEN("a service that came back from its copy")
    {
        store.restore();
        WHEN("two who know what it lost restore it")
        {
            CHECK(restore(store, known)->current_revision() ==
                  known.current_revision());
            const auto swaps = store.swaps;
            CHECK(restore(store, known)->current_revision() ==
                  known.current_revision());
            THEN("the first one writes it as it was")
            {
                CHECK(store.value.text == known.to_json());
                CHECK(store.swaps == swaps);
            }
        }
        WHEN("its answers are lost")
        {
            store.faults = {fault::none, fault::lose_answer, fault::refuse};
            CHECK(restore(store, known)->current_revision() ==
                  known.current_revision());
            CHECK(store.value.text == known.to_json());
        }
    }
}

TEST_CASE("no acknowledged change is lost with a copy", "[control]")
{
    rc::prop(
        "all who restore agree, and hold every change that was accepted",
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
                    store.take_copy();
                    break;
                case 1:
                    store.restore();
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
