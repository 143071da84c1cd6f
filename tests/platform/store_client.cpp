#include "platform/store_client.hpp"

#include <future>
#include <string>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

std::string response_of(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Type: application/json\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/*! @brief A store client whose store sends scripted responses. */
struct scripted_store
{
    explicit scripted_store(std::vector<std::string> responses)
        : peer(std::move(responses))
    {
        running.on_loop(
            [&]
            {
                http = std::make_unique<http_client>(running.loop);
                store = std::make_unique<platform::store_client>(*http,
                                                                 peer.address);
            });
    }

    ~scripted_store()
    {
        running.on_loop(
            [&]
            {
                store.reset();
                http.reset();
            });
        running.stop();
    }

    /*! @brief Starts a write and waits for its result. */
    template <typename Call>
    result<bool> write(Call call)
    {
        std::promise<result<bool>> promise;
        running.on_loop(
            [&]
            {
                call(*store, [&](result<bool> outcome)
                     { promise.set_value(std::move(outcome)); });
            });
        return promise.get_future().get();
    }

    result<bool> put()
    {
        return write([](platform::store_client& to, auto done)
                     { to.put("quarantine/a", "bytes", 41, 600'000ms, done); });
    }

    loopback::scripted_peer peer;
    loopback::running_loop running;
    std::unique_ptr<http_client> http;
    std::unique_ptr<platform::store_client> store;
};

} // namespace

SCENARIO("keys are written to the platform's store", "[platform]")
{
    const auto lease =
        response_of("200 OK", R"({"leaseId":77120,"ttlMs":600000})");

    SECTION("under a lease, if they are at the expected revision")
    {
        scripted_store fixture(
            {lease, response_of("200 OK", R"({"revision":412})")});
        const auto written = fixture.put();
        REQUIRE(written);
        CHECK(written.value());
        const auto requests = fixture.peer.arrivals();
        REQUIRE(requests.size() == 2);
        CHECK(requests[0].find("POST /kv-lease") == 0);
        CHECK(requests[0].find(R"("ttlMs":600000)") != std::string::npos);
        CHECK(requests[1].find("POST /kv-txn") == 0);
        CHECK(requests[1].find(R"("revision":41)") != std::string::npos);
        CHECK(requests[1].find(R"("leaseId":77120)") != std::string::npos);
        CHECK(requests[1].find(R"("payload":"Ynl0ZXM=")") != std::string::npos);
    }
    SECTION("a write is rejected if another one came before it")
    {
        scripted_store fixture({lease, response_of("412 Precondition Failed",
                                                   R"({"entries":[]})")});
        const auto written = fixture.put();
        REQUIRE(written);
        CHECK_FALSE(written.value());
    }
    SECTION("a write fails if no lease is granted")
    {
        for (const auto& response :
             {response_of("503 Busy", ""), response_of("200 OK", "[]"),
              response_of("200 OK", R"({"leaseId":"x"})")})
        {
            scripted_store fixture({response});
            const auto written = fixture.put();
            REQUIRE_FALSE(written);
            CHECK(written.error().kind == error_kind::unavailable);
            CHECK(fixture.peer.arrivals().size() == 1);
        }
    }
    SECTION("a write fails if its lease has expired")
    {
        scripted_store fixture({lease, response_of("404 Gone", "")});
        CHECK_FALSE(fixture.put());
    }
    SECTION("a permanent key has no lease")
    {
        scripted_store fixture({response_of("200 OK", R"({"revision":412})")});
        const auto written =
            fixture.write([](platform::store_client& to, auto done)
                          { to.put_permanent("version/m", "b", 41, done); });
        REQUIRE(written);
        CHECK(written.value());
        const auto requests = fixture.peer.arrivals();
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].find("POST /kv-txn") == 0);
        CHECK(requests[0].find(R"("revision":41)") != std::string::npos);
        CHECK(requests[0].find(R"("leaseId":0)") != std::string::npos);
    }
    SECTION("a key is removed if it is at the expected revision")
    {
        scripted_store fixture({response_of("200 OK", R"({"revision":413})")});
        const auto written =
            fixture.write([](platform::store_client& to, auto done)
                          { to.remove("quarantine/a", 412, done); });
        REQUIRE(written);
        CHECK(written.value());
        CHECK(fixture.peer.arrivals()[0].find(R"("remove":["quarantine/a"])") !=
              std::string::npos);
    }
}
