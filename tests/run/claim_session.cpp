#include "coursejunction/run/claim_session.hpp"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "coursejunction/run/run_registry.hpp"

namespace cj = coursejunction;

namespace
{

/*! @brief A sidecar and the claims in the key-value service. */
struct sidecar
{
    static constexpr std::size_t max_remembered = 8;

    /*! @return Whether the request ran. */
    bool run_request(const std::string& name)
    {
        const cj::request_id id(name);
        if (registry.begin_claim(id) != cj::start_decision::start)
            return false;
        if (!session.usable(now))
            session.open(std::to_string(++sessions), now);
        const auto used = session.use_for_claim();
        if (claims.emplace(name, used).first->second != used)
        {
            registry.claim_lost(id);
            return false;
        }
        const bool started = registry.start_claimed(id);
        registry.finish(id, {});
        return started;
    }

    cj::time_point now{std::chrono::hours(2)};
    cj::run_registry registry{max_remembered};
    cj::claim_session session{max_remembered / 2};
    std::map<std::string, std::string> claims;
    unsigned sessions{0};
};

} // namespace

SCENARIO("a request that its sidecar has forgotten does not run again", "[run]")
{
    sidecar sidecar_process;
    REQUIRE(sidecar_process.run_request("unlock-7"));
    CHECK_FALSE(sidecar_process.run_request("unlock-7"));
    for (std::size_t at = 0; at < 4 * sidecar::max_remembered; ++at)
    {
        CHECK(sidecar_process.run_request(std::to_string(at)));
        CHECK_FALSE(sidecar_process.run_request("unlock-7"));
    }
}

SCENARIO("a session expires by its claims, its age or the service", "[run]")
{
    const cj::time_point now{std::chrono::hours(2)};
    cj::claim_session session(2);
    CHECK_FALSE(session.usable(now));
    session.open("a", now);
    REQUIRE(session.usable(now));

    GIVEN("as many claims as a session may make")
    {
        CHECK(session.use_for_claim() == "a");
        CHECK(session.usable(now));
        CHECK(session.use_for_claim() == "a");
        CHECK_FALSE(session.usable(now));
        WHEN("a new one is opened")
        {
            session.open("b", now);
            CHECK(session.usable(now));
            CHECK(session.use_for_claim() == "b");
        }
    }
    GIVEN("a session at its maximum age")
    {
        const auto hour = cj::claim_session::max_age;
        CHECK(session.usable(now + hour));
        CHECK_FALSE(session.usable(now + hour + std::chrono::seconds(1)));
    }
    GIVEN("a service that no longer knows it")
    {
        session.invalidate("another");
        CHECK(session.usable(now));
        session.invalidate("a");
        CHECK_FALSE(session.usable(now));
    }
}
