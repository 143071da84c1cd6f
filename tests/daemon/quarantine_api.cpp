#include "coursejunction/daemon/quarantine_api.hpp"

#include <string>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Records the response. */
class recorded_reply : public http_reply
{
public:
    void send(int code, std::string_view, const header_map&,
              std::string_view body) override
    {
        status = code;
        text = body;
    }
    void begin(int, std::string_view, const header_map&) override {}
    void write(std::string_view) override {}
    void finish() override {}
    void cut() override {}
    void on_disconnect(std::function<void()>) override {}

    int status{0};
    std::string text;
};

} // namespace

TEST_CASE("quarantines are listed and lifted over HTTP", "[daemon]")
{
    crash_ledger ledger;
    const time_point now{100s};
    const auto crashing = request_content::of("school", "/", "bad");
    for (const char* name : {"a", "b", "c"})
        ledger.record_crash(crashing, crash_id_of(instance_id(name), {}),
                            crash_evidence::before_response, now);
    const auto request = [&](const std::string& method, const std::string& path)
    {
        http_request from;
        from.method = method;
        from.path = path;
        recorded_reply reply;
        handle_quarantine_request(
            from, reply, {ledger},
            [&](const request_content& content)
            { return ledger.lift_quarantine(content, now); },
            now);
        return reply;
    };

    SECTION(
        "the list shows a quarantined request, its crashes and the time left")
    {
        const auto listed = request("GET", "/v1/quarantine");
        CHECK(listed.status == 200);
        CHECK(listed.text.find(crashing.hex()) != std::string::npos);
        CHECK(listed.text.find("\"ends\":3") != std::string::npos);
        CHECK(listed.text.find("\"left_ms\":2000") != std::string::npos);
        CHECK(listed.text.find("\"quarantined\"") != std::string::npos);
    }
    SECTION("the list shows a request on trial")
    {
        const auto later = now + 2s;
        recorded_reply reply;
        http_request from;
        from.method = "GET";
        from.path = "/v1/quarantine";
        handle_quarantine_request(
            from, reply, {ledger}, [](const auto&) { return false; }, later);
        CHECK(reply.text.find("\"on trial\"") != std::string::npos);
    }
    SECTION("the list shows the longer quarantine after a failed trial")
    {
        ledger.record_crash(crashing, crash_id_of(instance_id("d"), {}),
                            crash_evidence::trial, now);
        CHECK(
            request("GET", "/v1/quarantine").text.find("\"left_ms\":600000") !=
            std::string::npos);
    }
    SECTION("a quarantine is lifted once; a second DELETE finds none")
    {
        CHECK(request("DELETE", "/v1/quarantine/" + crashing.hex()).status ==
              200);
        CHECK(request("DELETE", "/v1/quarantine/" + crashing.hex()).status ==
              404);
        CHECK(request("GET", "/v1/quarantine").text == "[]");
    }
    SECTION("a malformed hash, a missing item and other methods are refused")
    {
        CHECK(request("DELETE", "/v1/quarantine/12").status == 400);
        CHECK(request("DELETE", "/v1/quarantine").status == 404);
        CHECK(request("POST", "/v1/quarantine").status == 404);
    }
}
