#include "coursejunction/fleet/fleet_view.hpp"

#include <cstdint>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Records as `LIFE COUNT STATE`; life 0 is not told. */
struct counting_catalogue
{
    static cj::item_kind kind(const std::string&)
    {
        return cj::item_kind::upstream;
    }
    static cj::result<cj::installation> configuration(const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
    static cj::result<cj::upstream_record> upstream(const std::string& key,
                                                    const std::string& payload)
    {
        std::istringstream text(payload);
        std::uint64_t life = 0;
        std::string state;
        cj::upstream_record made;
        text >> life >> made.sequence >> state;
        made.id = upstream_id(key);
        made.life = cj::incarnation(life);
        made.leaving = state == "leaves";
        return made;
    }
    static cj::instance_id upstream_id(const std::string& key)
    {
        return cj::instance_id(key);
    }
    static cj::result<cj::version_target> version(const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
};

struct counting_platform
{
    using catalogue = counting_catalogue;
};

/*! @brief A mirror and what is read out of it. */
struct reader
{
    void put(const std::string& payload) { apply(payload, false); }
    void remove() { apply({}, true); }

    void apply(const std::string& payload, bool removed)
    {
        ++revision;
        const auto changed =
            mirror.apply({{"a", payload, revision, 0, removed, {}, 0}},
                         revision, cj::time_point{100s});
        view.update(mirror, changed);
    }

    /*! @brief The store comes back, in a new era, without the record. */
    void lose()
    {
        const auto changed =
            mirror.replace({}, {1, revision}, cj::time_point{100s});
        view.update(mirror, changed);
    }

    /*! @brief Writes in that era. */
    void put_anew(const std::string& payload)
    {
        ++revision;
        cj::message::mirror_item item{"a", payload, revision, 0, false, {}, 0};
        item.era = 1;
        view.update(mirror,
                    mirror.apply({item}, {1, revision}, cj::time_point{100s}));
    }

    [[nodiscard]] std::string state() const
    {
        const auto found = view.upstreams().find(cj::instance_id("a"));
        if (found == view.upstreams().end())
            return "gone";
        return found->second.leaving ? "leaves" : "ready";
    }

    cj::store_mirror mirror;
    cj::fleet_view<counting_platform> view;
    std::uint64_t revision{0};
};

} // namespace

SCENARIO("a late write does not bring back an upstream that leaves", "[fleet]")
{
    const std::string life = GENERATE("10", "0");
    reader read;
    read.put(life + " 5 ready");
    read.put(life + " 7 leaves");
    REQUIRE(read.state() == "leaves");

    SECTION("while it leaves")
    {
        read.put(life + " 6 ready");
        CHECK(read.state() == "leaves");
    }
    SECTION("once it is gone")
    {
        read.remove();
        read.put(life + " 6 ready");
        CHECK(read.state() == "gone");
    }
    SECTION("twice")
    {
        read.put(life + " 6 leaves");
        read.put(life + " 6 ready");
        CHECK(read.state() == "leaves");
    }
    SECTION("though it went without a word")
    {
        read.put(life + " 8 ready");
        read.remove();
        read.put(life + " 7 ready");
        CHECK(read.state() == "gone");
    }
}

SCENARIO("an upstream that is back is used", "[fleet]")
{
    const std::string life = GENERATE("10", "0");
    reader read;
    read.put(life + " 7 leaves");

    SECTION("it does not leave after all")
    {
        read.put(life + " 8 ready");
        CHECK(read.state() == "ready");
        THEN("its earlier word that it leaves does not preclude that")
        {
            read.put(life + " 9 ready");
            CHECK(read.state() == "ready");
        }
    }
    SECTION("its record lapsed, and it writes anew")
    {
        read.put(life + " 8 ready");
        read.remove();
        read.put(life + " 8 ready");
        CHECK(read.state() == "ready");
    }
    SECTION("its record was removed and its next word is that it is ready")
    {
        read.remove();
        read.put(life + " 8 ready");
        CHECK(read.state() == "ready");
    }
    SECTION("a store that came back from a copy had lost its record")
    {
        read.put(life + " 8 ready");
        read.lose();
        REQUIRE(read.state() == "gone");
        read.put_anew(life + " 6 ready");
        CHECK(read.state() == "ready");
    }
    SECTION("a new life counts anew")
    {
        read.put("20 1 ready");
        CHECK(read.state() == "ready");
        THEN("and leaves by its own count")
        {
            read.put("20 3 leaves");
            read.put("20 2 ready");
            CHECK(read.state() == "leaves");
        }
    }
}
