#include "coursejunction/fleet/fleet_view.hpp"

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Parses upstream records of the form `INCARNATION ADDRESS`;
 * incarnation 0 means none. */
struct text_catalogue
{
    static cj::item_kind kind(const std::string& key)
    {
        if (key.starts_with("evac/"))
            return cj::item_kind::evacuation;
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
            return cj::failure(cj::error_kind::invalid, "not a record");
        cj::upstream_record made;
        made.id = upstream_id(key);
        made.life = cj::incarnation(std::stoull(payload.substr(0, space)));
        made.address = payload.substr(space + 1);
        return made;
    }
    static cj::hall_id evacuated_hall(const std::string& key)
    {
        return cj::hall_id(key.substr(5));
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

struct text_platform
{
    using catalogue = text_catalogue;
};

/*! @brief A mirror and a view that is updated from it. */
struct mirrored_view
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
    cj::fleet_view<text_platform> view;
    std::uint64_t revision{0};
};

} // namespace

SCENARIO("an invalid or outdated upstream record does not replace a valid one",
         "[fleet]")
{
    mirrored_view store;
    store.put("up/a", "10 first");
    store.put("up/b", "10 other");

    WHEN("a record is overwritten by a malformed one")
    {
        const auto changes = store.put("up/a", "malformed");
        THEN("the upstream is removed, and other upstreams stay")
        {
            REQUIRE(changes.size() == 1);
            CHECK(changes[0].removed);
            CHECK(changes[0].malformed);
            CHECK(store.address("a").empty());
            CHECK(store.address("b") == "other");
            CHECK(store.view.unreadable_records() == 1);
        }
        THEN("its next valid record is used")
        {
            store.put("up/a", "10 first");
            CHECK(store.address("a") == "first");
        }
    }
    WHEN("the upstream restarts")
    {
        store.put("up/a", "20 second");
        CHECK(store.address("a") == "second");
        THEN("a late write of its earlier incarnation is ignored")
        {
            CHECK(store.put("up/a", "10 first").empty());
            CHECK(store.address("a") == "second");
        }
        THEN("a record without an incarnation is rejected")
        {
            CHECK(store.put("up/a", "0 third").at(0).malformed);
            CHECK(store.address("a").empty());
        }
    }
    WHEN("records that never had an incarnation replace each other")
    {
        store.put("up/c", "0 old");
        store.put("up/c", "0 moved");
        CHECK(store.address("c") == "moved");
    }
}

// Guards against a hall that receives requests because a rollback of the store
// lost the key of its evacuation.
SCENARIO("the view keeps the evacuated halls", "[fleet]")
{
    const cj::time_point now{100s};
    const cj::hall_id hall("z");
    const std::string key = "evac/z";
    cj::store_mirror mirror(cj::item_rules{
        {}, [](const std::string& name) {
            return text_catalogue::kind(name) == cj::item_kind::evacuation;
        }});
    cj::fleet_view<text_platform> view;
    const auto list =
        [&](const cj::store_mirror::items& items, cj::store_position as_of)
    { view.update(mirror, mirror.replace(items, as_of, now)); };

    GIVEN("no key")
    {
        list({}, {1, 4});
        THEN("there is none")
        {
            CHECK(view.evacuations().empty());
        }
    }
    GIVEN("a key")
    {
        list({{key, "{}", 5, 0, false, {}, 0, 1}}, {1, 6});
        CHECK(view.evacuations().at(hall) ==
              cj::hall_evacuation{hall, {1, 5}, true});

        WHEN("it is removed")
        {
            list({}, {1, 9});
            THEN("the evacuation ended at that position")
            {
                CHECK(view.evacuations().at(hall) ==
                      cj::hall_evacuation{hall, {1, 9}, false});
            }
        }
        WHEN("its value is not an object")
        {
            list({{key, "no", 7, 0, false, {}, 0, 1}}, {1, 7});
            THEN("it counts all the same")
            {
                CHECK(view.evacuations().at(hall).evacuated);
            }
        }
        WHEN("a rollback of the store loses it")
        {
            list({}, {2, 3});
            THEN("the hall stays evacuated")
            {
                CHECK(view.evacuations().at(hall) ==
                      cj::hall_evacuation{hall, {1, 5}, true});
            }
            AND_WHEN("it is written and removed")
            {
                list({{key, "{}", 4, 0, false, {}, 0, 2}}, {2, 4});
                list({}, {2, 5});
                THEN("the evacuation has ended")
                {
                    CHECK(view.evacuations().at(hall) ==
                          cj::hall_evacuation{hall, {2, 5}, false});
                }
            }
        }
        WHEN("a rollback of the store loses its removal")
        {
            list({}, {1, 9});
            list({{key, "{}", 5, 0, false, {}, 0, 2}}, {2, 7});
            THEN("the hall is evacuated: the store holds the key")
            {
                CHECK(view.evacuations().at(hall) ==
                      cj::hall_evacuation{hall, {2, 5}, true});
            }
        }
        WHEN("an older copy that holds it is read in a later era")
        {
            list({{key, "{}", 5, 0, false, {}, 0, 2}}, {2, 7});
            THEN("its position is that of the later era")
            {
                CHECK(view.evacuations().at(hall).position ==
                      cj::store_position(2, 5));
            }
        }
    }
}

SCENARIO("a lost key is kept although the mirror drops it", "[fleet]")
{
    const cj::time_point now{100s};
    cj::store_mirror mirror;
    cj::fleet_view<text_platform> view;
    view.update(
        mirror,
        mirror.replace({{"evac/z", "{}", 5, 0, false, {}, 0, 1}}, {1, 6}, now));
    view.update(mirror, mirror.replace({}, {2, 3}, now));
    CHECK(mirror.find("evac/z") == nullptr);
    CHECK(view.evacuations().at(cj::hall_id("z")).evacuated);
}
