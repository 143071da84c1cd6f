#include "coursejunction/run/claim_session.hpp"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "coursejunction/run/run_registry.hpp"

namespace cj = coursejunction;

namespace
{

/*! @brief One side and the claims in the key-value service. */
struct busy_side
{
    static constexpr std::size_t remembered = 8;

    /*! @return Whether the request ran. */
    bool request(const std::string& name)
    {
        const cj::request_id id(name);
        if (registry.admit(id) != cj::admission::start)
            return false;
        if (!session.usable(now))
            session.opened(std::to_string(++sessions), now);
        const auto used = session.use();
        if (claims.emplace(name, used).first->second != used)
        {
            registry.lost(id);
            return false;
        }
        const bool started = registry.start(id);
        registry.end(id, {});
        return started;
    }

    cj::time_point now{std::chrono::hours(2)};
    cj::run_registry registry{remembered};
    cj::claim_session session{remembered / 2};
    std::map<std::string, std::string> claims;
    unsigned sessions{0};
};

} // namespace

SCENARIO("a request that its side has forgotten does not run again", "[run]")
{
    busy_side side;
    REQUIRE(side.request("unlock-7"));
    CHECK_FALSE(side.request("unlock-7"));
    for (std::size_t at = 0; at < 4 * busy_side::remembered; ++at)
    {
        CHECK(side.request(std::to_string(at)));
        CHECK_FALSE(side.request("unlock-7"));
    }
}

SCENARIO("a session of claims is left in time", "[run]")
{
    const cj::time_point now{std::chrono::hours(2)};
    cj::claim_session session(2);
    CHECK_FALSE(session.usable(now));
    session.opened("a", now);
    REQUIRE(session.usable(now));

    GIVEN("as many claims as it makes")
    {
        CHECK(session.use() == "a");
        CHECK(session.usable(now));
        CHECK(session.use() == "a");
        CHECK_FALSE(session.usable(now));
        WHEN("another is opened")
        {
            session.opened("b", now);
            CHECK(session.usable(now));
            CHECK(session.use() == "b");
        }
    }
    GIVEN("an hour")
    {
        const auto hour = cj::claim_session::longest;
        CHECK(session.usable(now + hour));
        CHECK_FALSE(session.usable(now + hour + std::chrono::seconds(1)));
    }
    GIVEN("a service that lacks it")
    {
        session.lost("another");
        CHECK(session.usable(now));
        session.lost("a");
        CHECK_FALSE(session.usable(now));
    }
}
