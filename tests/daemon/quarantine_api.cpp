#include "coursejunction/daemon/quarantine_api.hpp"

#include <string>

#include <catch2/catch.hpp>

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Keeps what was answered. */
class kept_reply : public http_reply
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
    void on_abandoned(std::function<void()>) override {}

    int status{0};
    std::string text;
};

} // namespace

TEST_CASE("quarantines are listed and lifted over HTTP", "[daemon]")
{
    crash_ledger ledger;
    const time_point now{100s};
    const auto bad = request_content::of("school", "/", "bad");
    for (const char* name : {"a", "b", "c"})
        ledger.record_crash(bad, crash_id_of(instance_id(name), {}),
                            crash_evidence::before_response, now);
    const auto ask = [&](const std::string& method, const std::string& path)
    {
        http_request from;
        from.method = method;
        from.path = path;
        kept_reply reply;
        handle_quarantine_request(
            from, reply, ledger,
            [&](const request_content& what)
            { return ledger.lift_quarantine(what, now); },
            now);
        return reply;
    };

    SECTION("the list tells what is held, for how long and why")
    {
        const auto told = ask("GET", "/v1/quarantine");
        CHECK(told.status == 200);
        CHECK(told.text.find(bad.hex()) != std::string::npos);
        CHECK(told.text.find("\"ends\":3") != std::string::npos);
        CHECK(told.text.find("\"left_ms\":2000") != std::string::npos);
        CHECK(told.text.find("\"quarantined\"") != std::string::npos);
    }
    SECTION("the list tells what is on trial")
    {
        const auto later = now + 2s;
        kept_reply reply;
        http_request from;
        from.method = "GET";
        from.path = "/v1/quarantine";
        handle_quarantine_request(
            from, reply, ledger, [](const auto&) { return false; }, later);
        CHECK(reply.text.find("\"on trial\"") != std::string::npos);
    }
    SECTION("the list tells how long one is held whose trial has failed")
    {
        ledger.record_crash(bad, crash_id_of(instance_id("d"), {}),
                            crash_evidence::trial, now);
        CHECK(ask("GET", "/v1/quarantine").text.find("\"left_ms\":600000") !=
              std::string::npos);
    }
    SECTION("one is lifted once")
    {
        CHECK(ask("DELETE", "/v1/quarantine/" + bad.hex()).status == 200);
        CHECK(ask("DELETE", "/v1/quarantine/" + bad.hex()).status == 404);
        CHECK(ask("GET", "/v1/quarantine").text == "[]");
    }
    SECTION("what makes no sense is refused")
    {
        CHECK(ask("DELETE", "/v1/quarantine/12").status == 400);
        CHECK(ask("DELETE", "/v1/quarantine").status == 404);
        CHECK(ask("POST", "/v1/quarantine").status == 404);
    }
}
