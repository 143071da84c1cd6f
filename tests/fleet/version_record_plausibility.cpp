#include "coursejunction/fleet/fleet_view.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

/*! @brief Version records, and version keys that hold a plain number. */
struct version_catalogue
{
    static cj::item_kind kind(const std::string& key)
    {
        return key.starts_with(cj::version_record_prefix)
                   ? cj::item_kind::version_record
                   : cj::item_kind::version;
    }
    static cj::result<cj::installation> configuration(const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
    static cj::result<cj::upstream_record> upstream(const std::string&,
                                                    const std::string&)
    {
        return cj::failure(cj::error_kind::invalid, "none");
    }
    static cj::hall_id evacuated_hall(const std::string& key)
    {
        return cj::hall_id(key);
    }
    static cj::instance_id upstream_id(const std::string& key)
    {
        return cj::instance_id(key);
    }
    static cj::result<cj::version_target> version(const std::string& payload)
    {
        return cj::version_target{"m", std::stoull(payload)};
    }
};

struct version_platform
{
    using catalogue = version_catalogue;
};

/*! @brief Keys and payloads. */
using key_values = std::vector<std::pair<std::string, std::string>>;

std::pair<std::string, std::string> published(std::uint64_t version)
{
    return {"named/m", std::to_string(version)};
}

std::pair<std::string, std::string> recorded(std::uint64_t newest,
                                             std::uint64_t minimum)
{
    return {cj::version_record_key("m"),
            cj::version_record_payload({"m", newest, minimum})};
}

/*! @brief A mirror and a view that is updated from it. */
struct mirrored_view
{
    /*! @brief Applies keys as one change of the mirror, in that order. */
    void put(const key_values& keys)
    {
        cj::store_mirror::items items;
        for (const auto& [key, payload] : keys)
            items.push_back({key, payload, ++revision, 0, false, {}, 0});
        const auto changed =
            mirror.apply(items, revision, cj::time_point{100s});
        view.update(mirror, changed);
    }

    [[nodiscard]] std::uint64_t newest() const { return view.newest("m"); }

    [[nodiscard]] std::uint64_t minimum() const
    {
        const auto found = view.minimum_versions().find("m");
        return found == view.minimum_versions().end() ? 0 : found->second;
    }

    cj::store_mirror mirror;
    cj::fleet_view<version_platform> view;
    std::uint64_t revision{0};
};

} // namespace

SCENARIO("an implausible version record is ignored", "[fleet]")
{
    constexpr std::uint64_t implausible = 1'000'000'000'000;
    mirrored_view store;

    SECTION("beside a version key, in either order")
    {
        const auto key_first = GENERATE(true, false);
        if (key_first)
            store.put({published(3), recorded(implausible, implausible)});
        else
            store.put({recorded(implausible, implausible), published(3)});
        CHECK(store.newest() == 3);
        CHECK(store.minimum() == 0);
        CHECK(store.view.newest_stored("m") == 3);
    }
    SECTION("before any version was published")
    {
        store.put({recorded(implausible, implausible)});
        CHECK(store.newest() == 1);
        CHECK(store.minimum() == 0);
    }
    SECTION("a plausible record that replaces it is used")
    {
        store.put({published(3), recorded(implausible, implausible)});
        store.put({recorded(4, 3)});
        CHECK(store.newest() == 4);
        CHECK(store.minimum() == 3);
    }
}

SCENARIO("a version record is used once another source corroborates it",
         "[fleet]")
{
    mirrored_view store;

    SECTION("the version key went back below the record")
    {
        store.put({published(2), recorded(3, 3)});
        CHECK(store.newest() == 3);
        CHECK(store.minimum() == 3);
    }
    SECTION("the numbers are large, and so is the version key")
    {
        const auto key_first = GENERATE(true, false);
        if (key_first)
            store.put({published(70'000), recorded(70'001, 70'000)});
        else
            store.put({recorded(70'001, 70'000), published(70'000)});
        CHECK(store.newest() == 70'001);
        CHECK(store.minimum() == 70'000);
    }
    SECTION("the large version key is read later")
    {
        store.put({recorded(70'001, 70'000)});
        CHECK(store.newest() == 1);
        store.put({published(70'000)});
        CHECK(store.newest() == 70'001);
        CHECK(store.minimum() == 70'000);
    }
    SECTION("a peer reports the large number")
    {
        store.put({recorded(70'001, 70'000)});
        store.view.add_version("m", 70'000, cj::time_point{100s});
        CHECK(store.newest() == 70'001);
    }
    SECTION("the version key was large before it went back")
    {
        store.put({published(70'000)});
        store.put({published(2)});
        store.put({recorded(70'000, 70'000)});
        CHECK(store.minimum() == 70'000);
    }
}
