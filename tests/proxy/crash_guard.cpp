#include "coursejunction/proxy/crash_guard.hpp"

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

using namespace coursejunction;

namespace
{

/*! @brief A crash guard that counts the records it persists and removes. */
struct guard_fixture
{
    explicit guard_fixture(bool runs_trials)
    {
        running.on_loop(
            [&]
            {
                client = std::make_unique<stream_client>(running.loop);
                guard = std::make_unique<crash_guard>(
                    *client, counters,
                    [this](const request_content& content)
                    { quarantined.push_back(content); });
                guard->set_trial_rank([runs_trials](const auto&) -> std::size_t
                                      { return runs_trials ? 0 : 1; });
                guard->on_persist(
                    [this](const request_content&,
                           const message::crash_record* record)
                    {
                        persisted += record != nullptr ? 1 : 0;
                        removed += record == nullptr ? 1 : 0;
                    });
            });
    }

    ~guard_fixture()
    {
        running.on_loop(
            [&]
            {
                guard.reset();
                client.reset();
            });
        running.stop();
    }

    /*! @brief An attempt is lost and its upstream is known to have crashed. */
    void crash(const std::string& upstream, const request_content& content)
    {
        running.on_loop(
            [&]
            {
                const instance_id id(upstream);
                guard->attempt_lost(
                    {id, "127.0.0.1:1", {content, crash_id_of(id, {})}},
                    event_loop::now());
                guard->upstream_crashed(id, "seen");
            });
    }

    void receive_report(const std::string& upstream,
                        const request_content& content)
    {
        const auto end = crash_id_of(instance_id(upstream), {});
        running.on_loop(
            [&] {
                guard->merge_records({{content, {{end.value(), 1}}, {}, 0}},
                                     "x");
            });
    }

    loopback::running_loop running;
    metrics counters;
    std::unique_ptr<stream_client> client;
    std::unique_ptr<crash_guard> guard;
    std::vector<request_content> quarantined;
    int persisted{0};
    int removed{0};
};

} // namespace

SCENARIO("exactly one entry persists a quarantine that all entries found",
         "[proxy]")
{
    const auto bad = request_content::of("school", "/", "bad");

    SECTION(
        "each entry saw one crash: the one that runs the trials persists it")
    {
        guard_fixture trial_owner(true);
        guard_fixture other(false);
        for (auto* fixture : {&trial_owner, &other})
        {
            fixture->crash("a", bad);
            fixture->receive_report("b", bad);
            fixture->receive_report("c", bad);
            CHECK(fixture->quarantined.size() == 1);
        }
        CHECK(trial_owner.persisted == 1);
        CHECK(other.persisted == 0);
    }
    SECTION(
        "the entry that saw the last crash persists it, even without running "
        "the trials")
    {
        guard_fixture other(false);
        other.receive_report("a", bad);
        other.receive_report("b", bad);
        other.crash("c", bad);
        CHECK(other.persisted == 1);

        SECTION("and removes it when an operator lifts the quarantine")
        {
            other.running.on_loop(
                [&] { CHECK(other.guard->lift_quarantine(bad)); });
            CHECK(other.removed == 1);
        }
    }
    SECTION("a quarantine restored from the store is not written again")
    {
        guard_fixture trial_owner(true);
        trial_owner.running.on_loop(
            [&]
            {
                trial_owner.guard->restore_quarantine(
                    {bad, {{1, 1}, {2, 1}, {3, 1}}, {}, 200});
                CHECK(trial_owner.guard->status(bad, event_loop::now()) ==
                      crash_status::quarantined);
            });
        CHECK(trial_owner.persisted == 0);
        CHECK(trial_owner.quarantined.size() == 1);
    }
}
