#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "net/pacing_peer.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;

using proxy_test::entry_on_loopback;
using proxy_test::event_stream;
using proxy_test::response;
using proxy_test::scripted_upstream;
using proxy_test::test_codec;

namespace
{

/*! @brief An entry at which an upstream becomes unfit between the decision on
 * an attempt and its connection. */
class changing_entry : public entry_on_loopback
{
public:
    /*! @brief What makes an upstream unfit for the request. */
    struct change
    {
        std::string reason;
        std::function<void(changing_entry&, const cj::upstream_record&)> apply;
    };

    changing_entry() = default;
    ~changing_entry() { test_codec::before_attempt = nullptr; }

    /*! @brief Registers an upstream; "a" is preferred. */
    void add(const std::string& id, const std::string& address,
             std::uint64_t version = 1)
    {
        records[id] = with_weights(id, address, version);
        running.on_loop([&] { open_upstream(records[id], "m"); });
    }

    /*! @brief Registers an upstream that is avoided for 300 ms. In one turn of
     * the loop, since one whose status has expired is avoided for 8 s. */
    void add_avoided(const std::string& id, const std::string& address)
    {
        records[id] = with_weights(id, address, 1);
        running.on_loop(
            [&]
            {
                open_upstream(records[id], "m");
                book.mark_silent(cj::instance_id(id), cj::event_loop::now());
            });
    }

    /*! @brief Makes an upstream unfit after the decision on the n-th attempt,
     * before its connection is up.
     * @param other Address of an upstream that is added then, so that no
     * earlier attempt goes there; empty for none. */
    void change_after_decision(int attempt, const change& made,
                               const std::string& id,
                               const std::string& other = {})
    {
        test_codec::before_attempt = [this, attempt, made, id, other]
        {
            if (++attempts != attempt)
                return;
            running.loop.post(
                [this, made, id, other]
                {
                    if (!other.empty())
                        open_upstream(with_weights("other", other, 2), "m");
                    made.apply(*this, records.at(id));
                });
        };
    }

    [[nodiscard]] std::string ask_for_model()
    {
        return ask("/x", "Model: m\r\n");
    }

    [[nodiscard]] bool counted(const std::string& text) const
    {
        return counters.text().find(text) != std::string::npos;
    }

private:
    [[nodiscard]] static cj::upstream_record
    with_weights(const std::string& id, const std::string& address,
                 std::uint64_t version)
    {
        auto made = record(id, address, id == "a" ? "h" : "hall-" + id);
        made.model_versions["m"] = version;
        return made;
    }

    std::map<std::string, cj::upstream_record> records;
    int attempts{0};
};

using change = changing_entry::change;

cj::time_point now()
{
    return cj::event_loop::now();
}

/*! @brief Returns changes after which another upstream is still fit. */
std::vector<change> changes_of_one_upstream()
{
    using entry = changing_entry;
    using record = cj::upstream_record;
    return {
        {"leaving",
         [](entry& changed, const record& of)
         {
             auto next = of;
             next.leaving = true;
             changed.book.apply_record(next);
         }},
        {"leaving",
         [](entry& changed, const record& of) {
             changed.book.apply_departure({of.id, {1, 9}, true}, now());
         }},
        {"removed", [](entry& changed, const record& of)
         { changed.book.remove(of.id, std::nullopt, now()); }},
        {"replaced",
         [](entry& changed, const record& of)
         {
             auto next = of;
             next.service = cj::service_name("another");
             changed.book.apply_record(next);
         }},
        {"evacuated",
         [](entry& changed, const record& of) {
             changed.book.set_evacuations({{of.hall, {1, 9}}}, now());
         }},
        {"old_weights", [](entry& changed, const record&)
         { changed.service->minimum_versions().enforce("m", 2); }},
    };
}

/*! @brief Returns the change that a sidecar closes its upstream for a load. In
 * these tests all upstreams have one address, and so one sidecar. */
change closed_by_sidecar()
{
    return {"closed", [](changing_entry& changed, const cj::upstream_record&)
            {
                cj::message::upstream_status status;
                status.model = "m";
                status.version = 1;
                status.side = 1;
                status.sequence = 1;
                status.reachable = true;
                changed.book.apply_status("127.0.0.1", status, now());
            }};
}

} // namespace

// A request whose connection was awaited was written to an upstream that had
// left meanwhile.
SCENARIO("a first attempt is sent to an upstream that became unfit before its "
         "connection was up",
         "[proxy]")
{
    changing_entry entry;
    scripted_upstream left({response("data: left\n\n")});
    scripted_upstream other({response("data: other\n\n")});
    const auto kind =
        GENERATE(cj::request_kind::stream, cj::request_kind::repeatable,
                 cj::request_kind::at_most_once);

    SECTION("while another one is fit")
    {
        const auto made = GENERATE(from_range(changes_of_one_upstream()));
        CAPTURE(made.reason);
        entry.change_after_decision(1, made, "a", other.address);
        SECTION("for a request that was placed at once")
        {
            entry.configure_route(kind);
            entry.add("a", left.address);
            CHECK(entry.ask_for_model().find("data: other") !=
                  std::string::npos);
        }
        SECTION("for a request that waited in the queue")
        {
            entry.first_event_target = 20'000ms;
            entry.configure_route(kind, false, 20'000ms);
            entry.add_avoided("a", left.address);
            CHECK(entry.ask_for_model().find("data: other") !=
                  std::string::npos);
        }
        CHECK(left.arrivals().empty());
        CHECK(other.arrivals().size() == 1);
        CHECK(entry.counted("attempts_withdrawn_total{reason=\"" + made.reason +
                            "\"} 1"));
        CHECK_FALSE(entry.counted("attempts_failed_total"));
    }
    SECTION("while no other one is fit, and it is not refused at once")
    {
        auto changes = changes_of_one_upstream();
        changes.push_back(closed_by_sidecar());
        const auto made = GENERATE_COPY(from_range(changes));
        CAPTURE(made.reason);
        entry.first_event_target = 300ms;
        entry.configure_route(kind);
        entry.add("a", left.address);
        entry.change_after_decision(1, made, "a");
        const auto asked_at = std::chrono::steady_clock::now();
        const auto answer = entry.ask_for_model();
        CHECK(std::chrono::steady_clock::now() - asked_at < 1s);
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(answer.find("Retry-After") != std::string::npos);
        CHECK(left.arrivals().empty());
    }
}

SCENARIO("a later attempt is sent to an upstream that became unfit before its "
         "connection was up",
         "[proxy]")
{
    changing_entry entry;
    const auto made = GENERATE(from_range(changes_of_one_upstream()));
    CAPTURE(made.reason);
    scripted_upstream left({response("left")});
    constexpr auto rest = "id: 2\ndata: other\n\n";

    SECTION("a retry after an error response")
    {
        scripted_upstream failing(
            {response("", "7", "500 Internal Server Error")});
        scripted_upstream other({response("other")});
        entry.configure_route(cj::request_kind::repeatable);
        entry.add("a", failing.address);
        entry.add("b", left.address);
        entry.change_after_decision(2, made, "b", other.address);
        CHECK(entry.ask_for_model().ends_with("other"));
        CHECK(other.arrivals().size() == 1);
    }
    SECTION("a stream that is resumed")
    {
        scripted_upstream broken(
            {event_stream("id: 1\ndata: first\n\n", false)});
        scripted_upstream other({event_stream(rest, true)});
        entry.configure_route(cj::request_kind::stream, true);
        entry.add("a", broken.address);
        entry.add("b", left.address);
        entry.change_after_decision(2, made, "b", other.address);
        const auto answer = entry.ask_for_model();
        CHECK(answer.find("data: first") != std::string::npos);
        CHECK(answer.find("data: other") != std::string::npos);
        CHECK(answer.ends_with("0\r\n\r\n"));
        REQUIRE(other.arrivals().size() == 1);
        CHECK(other.arrivals()[0].find("Last: 1\r\n") != std::string::npos);
    }
    SECTION("a copy of a request whose upstream is silent")
    {
        scripted_upstream silent({scripted_upstream::hang});
        scripted_upstream other({event_stream(rest, true)});
        entry.configure_route(cj::request_kind::stream, true, 20'000ms);
        entry.add("a", silent.address);
        entry.add("b", left.address);
        entry.change_after_decision(2, made, "b", other.address);
        CHECK(entry.ask_for_model().find("data: other") != std::string::npos);
        CHECK(other.arrivals().size() == 1);
    }
    SECTION("a copy of a request whose first event is overdue")
    {
        loopback::pacing_peer late(1, 900ms);
        entry.event_gap_target = 300ms;
        entry.configure_route(cj::request_kind::stream, true, 20'000ms);
        entry.add("a", late.address, 2);
        entry.add("b", left.address);
        entry.change_after_decision(2, made, "b");
        THEN("the first attempt goes on")
        {
            const auto answer = entry.ask_for_model();
            CHECK(answer.find("id: 1\n") != std::string::npos);
            CHECK(answer.ends_with("0\r\n\r\n"));
        }
    }
    CHECK(left.arrivals().empty());
    CHECK(entry.counted("attempts_withdrawn_total{reason=\"" + made.reason +
                        "\"} 1"));
}
