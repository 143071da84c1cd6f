#include "coursejunction/fleet/fleet_view.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Records as `LIFE ADDRESS`; anything else can't be read. */
struct plain_catalogue
{
    static cj::item_kind kind(const std::string& key)
    {
        return key.starts_with("up/") ? cj::item_kind::upstream
                                      : cj::item_kind::other;
    }
    static cj::result<cj::installation> configuration(const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
    static cj::result<cj::upstream_record> upstream(const std::string& key,
                                                    const std::string& payload)
    {
        const auto space = payload.find(' ');
        if (space == std::string::npos)
            return cj::failure(cj::error_kind::invalid, "no record");
        cj::upstream_record made;
        made.id = upstream_id(key);
        made.life = cj::incarnation(std::stoull(payload.substr(0, space)));
        made.address = payload.substr(space + 1);
        return made;
    }
    static cj::instance_id upstream_id(const std::string& key)
    {
        return cj::instance_id(key.substr(3));
    }
    static cj::result<cj::version_target> version(const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
};

struct plain_platform
{
    using catalogue = plain_catalogue;
};

/*! @brief A mirror and what is read out of it. */
struct reader
{
    std::vector<cj::upstream_change> put(const std::string& key,
                                         const std::string& payload)
    {
        ++revision;
        const auto changed =
            mirror.apply({{key, payload, revision, 0, false, {}, 0}}, revision,
                         cj::time_point{100s});
        return view.update(mirror, changed);
    }

    [[nodiscard]] std::string address(const std::string& id) const
    {
        const auto found = view.upstreams().find(cj::instance_id(id));
        return found == view.upstreams().end() ? "" : found->second.address;
    }

    cj::store_mirror mirror;
    cj::fleet_view<plain_platform> view;
    std::uint64_t revision{0};
};

} // namespace

SCENARIO("records of upstreams that other writers spoil", "[fleet]")
{
    reader read;
    read.put("up/a", "10 first");
    read.put("up/b", "10 other");

    WHEN("one is replaced by what can't be read")
    {
        const auto changes = read.put("up/a", "spoilt");
        THEN("it names no upstream, and the others hold")
        {
            REQUIRE(changes.size() == 1);
            CHECK(changes[0].removed);
            CHECK(changes[0].malformed);
            CHECK(read.address("a").empty());
            CHECK(read.address("b") == "other");
            CHECK(read.view.unreadable_records() == 1);
        }
        THEN("the next whole one of its upstream is used at once")
        {
            read.put("up/a", "10 first");
            CHECK(read.address("a") == "first");
        }
    }
    WHEN("the upstream starts again")
    {
        read.put("up/a", "20 second");
        CHECK(read.address("a") == "second");
        THEN("a write of its earlier life that is done late changes nothing")
        {
            CHECK(read.put("up/a", "10 first").empty());
            CHECK(read.address("a") == "second");
        }
        THEN("a record that tells no life is of another writer")
        {
            CHECK(read.put("up/a", "0 third").at(0).malformed);
            CHECK(read.address("a").empty());
        }
    }
    WHEN("no record ever told a life")
    {
        read.put("up/c", "0 old");
        read.put("up/c", "0 moved");
        CHECK(read.address("c") == "moved");
    }
}
