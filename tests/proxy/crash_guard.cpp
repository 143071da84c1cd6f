#include "coursejunction/proxy/crash_guard.hpp"

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

using namespace coursejunction;

namespace
{

/*! @brief A guard that notes what it keeps. */
struct noting_guard
{
    explicit noting_guard(bool owner)
    {
        running.on_loop(
            [&]
            {
                client = std::make_unique<stream_client>(running.loop);
                guard = std::make_unique<crash_guard>(
                    *client, counters,
                    [this](const request_content& what)
                    { quarantined.push_back(what); });
                guard->set_trial_owner([owner](const auto&) { return owner; });
                guard->on_persist(
                    [this](const request_content&,
                           const message::crash_record* record)
                    {
                        kept += record != nullptr ? 1 : 0;
                        dropped += record == nullptr ? 1 : 0;
                    });
            });
    }

    ~noting_guard()
    {
        running.on_loop(
            [&]
            {
                guard.reset();
                client.reset();
            });
        running.stop();
    }

    /*! @brief An upstream is seen to have ended under a request. */
    void end(const std::string& upstream, const request_content& what)
    {
        running.on_loop(
            [&]
            {
                const instance_id id(upstream);
                guard->attempt_lost(
                    {id, "127.0.0.1:1", {what, crash_of(id, {})}},
                    event_loop::now());
                guard->upstream_crashed(id, "seen");
            });
    }

    void told(const std::string& upstream, const request_content& what)
    {
        const auto end = crash_of(instance_id(upstream), {});
        running.on_loop(
            [&] {
                guard->merge_records({{what, {{end.value(), 1}}, {}, 0}}, "x");
            });
    }

    loopback::running_loop running;
    metrics counters;
    std::unique_ptr<stream_client> client;
    std::unique_ptr<crash_guard> guard;
    std::vector<request_content> quarantined;
    int kept{0};
    int dropped{0};
};

} // namespace

SCENARIO("one of the entries keeps what all of them found", "[proxy]")
{
    const auto bad = request_content::of("school", "/", "bad");

    SECTION("each saw one end: the one that runs the trials keeps it")
    {
        noting_guard owner(true);
        noting_guard other(false);
        for (auto* one : {&owner, &other})
        {
            one->end("a", bad);
            one->told("b", bad);
            one->told("c", bad);
            CHECK(one->quarantined.size() == 1);
        }
        CHECK(owner.kept == 1);
        CHECK(other.kept == 0);
    }
    SECTION("who saw the last of them keeps it, whoever runs the trials")
    {
        noting_guard other(false);
        other.told("a", bad);
        other.told("b", bad);
        other.end("c", bad);
        CHECK(other.kept == 1);

        SECTION("and drops it once an operator lifts it")
        {
            other.running.on_loop(
                [&] { CHECK(other.guard->lift_quarantine(bad)); });
            CHECK(other.dropped == 1);
        }
    }
    SECTION("what the store kept is not written again")
    {
        noting_guard owner(true);
        owner.running.on_loop(
            [&]
            {
                owner.guard->restore_quarantine(
                    {bad, {{1, 1}, {2, 1}, {3, 1}}, {}, 200});
                CHECK(owner.guard->status(bad, event_loop::now()) ==
                      crash_standing::quarantined);
            });
        CHECK(owner.kept == 0);
        CHECK(owner.quarantined.size() == 1);
    }
}
