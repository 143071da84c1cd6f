#include "platform/store_client.hpp"

#include <future>
#include <string>

#include <catch2/catch.hpp>

#include "net/loopback.hpp"

using namespace coursejunction;
using namespace std::chrono_literals;

namespace
{

std::string answered(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Type: application/json\r\nConnection: close\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/*! @brief A client before a store that gives scripted answers. */
struct client_of_store
{
    explicit client_of_store(std::vector<std::string> answers)
        : peer(std::move(answers))
    {
        running.on_loop(
            [&]
            {
                carrier = std::make_unique<http_client>(running.loop);
                store = std::make_unique<platform::store_client>(*carrier,
                                                                 peer.address);
            });
    }

    ~client_of_store()
    {
        running.on_loop(
            [&]
            {
                store.reset();
                carrier.reset();
            });
        running.stop();
    }

    /*! @brief Runs one write to its end. */
    template <typename Call>
    result<bool> write(Call call)
    {
        std::promise<result<bool>> told;
        running.on_loop(
            [&]
            {
                call(*store, [&](result<bool> answer)
                     { told.set_value(std::move(answer)); });
            });
        return told.get_future().get();
    }

    result<bool> put()
    {
        return write([](platform::store_client& to, auto done)
                     { to.put("quarantine/a", "bytes", 41, 600'000ms, done); });
    }

    loopback::scripted_peer peer;
    loopback::running_loop running;
    std::unique_ptr<http_client> carrier;
    std::unique_ptr<platform::store_client> store;
};

} // namespace

SCENARIO("keys are written to the platform's store", "[platform]")
{
    const auto lease =
        answered("200 OK", R"({"leaseId":77120,"ttlMs":600000})");

    SECTION("under a lease, while they are as they were seen")
    {
        client_of_store one({lease, answered("200 OK", R"({"revision":412})")});
        const auto done = one.put();
        REQUIRE(done);
        CHECK(done.value());
        const auto arrived = one.peer.arrivals();
        REQUIRE(arrived.size() == 2);
        CHECK(arrived[0].find("POST /kv-lease") == 0);
        CHECK(arrived[0].find(R"("ttlMs":600000)") != std::string::npos);
        CHECK(arrived[1].find("POST /kv-txn") == 0);
        CHECK(arrived[1].find(R"("revision":41)") != std::string::npos);
        CHECK(arrived[1].find(R"("leaseId":77120)") != std::string::npos);
        CHECK(arrived[1].find(R"("payload":"Ynl0ZXM=")") != std::string::npos);
    }
    SECTION("somebody else has written meanwhile")
    {
        client_of_store one(
            {lease, answered("412 Precondition Failed", R"({"entries":[]})")});
        const auto done = one.put();
        REQUIRE(done);
        CHECK_FALSE(done.value());
    }
    SECTION("the store refuses the lease, or names none")
    {
        for (const auto& answer :
             {answered("503 Busy", ""), answered("200 OK", "[]"),
              answered("200 OK", R"({"leaseId":"x"})")})
        {
            client_of_store one({answer});
            const auto done = one.put();
            REQUIRE_FALSE(done);
            CHECK(done.error().kind == error_kind::unavailable);
            CHECK(one.peer.arrivals().size() == 1);
        }
    }
    SECTION("the lease is over when the key is written")
    {
        client_of_store one({lease, answered("404 Gone", "")});
        CHECK_FALSE(one.put());
    }
    SECTION("one that stays needs no lease")
    {
        client_of_store one({answered("200 OK", R"({"revision":412})")});
        const auto done =
            one.write([](platform::store_client& to, auto call)
                      { to.put_permanent("version/m", "b", 41, call); });
        REQUIRE(done);
        CHECK(done.value());
        const auto arrived = one.peer.arrivals();
        REQUIRE(arrived.size() == 1);
        CHECK(arrived[0].find("POST /kv-txn") == 0);
        CHECK(arrived[0].find(R"("revision":41)") != std::string::npos);
        CHECK(arrived[0].find(R"("leaseId":0)") != std::string::npos);
    }
    SECTION("a key is removed while it is as it was seen")
    {
        client_of_store one({answered("200 OK", R"({"revision":413})")});
        const auto done = one.write([](platform::store_client& to, auto call)
                                    { to.remove("quarantine/a", 412, call); });
        REQUIRE(done);
        CHECK(done.value());
        CHECK(one.peer.arrivals()[0].find(R"("remove":["quarantine/a"])") !=
              std::string::npos);
    }
}
