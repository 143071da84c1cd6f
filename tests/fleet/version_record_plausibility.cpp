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

/*! @brief Names of versions as numbers, and the system's own records. */
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

using written = std::vector<std::pair<std::string, std::string>>;

std::pair<std::string, std::string> named(std::uint64_t version)
{
    return {"named/m", std::to_string(version)};
}

std::pair<std::string, std::string> recorded(std::uint64_t newest,
                                             std::uint64_t binding)
{
    return {cj::version_record_key("m"),
            cj::version_record_payload({"m", newest, binding})};
}

/*! @brief A mirror and what is read out of it. */
struct reader
{
    /*! @brief Reads keys that came together, in that order. */
    void put(const written& keys)
    {
        cj::store_mirror::items items;
        for (const auto& [key, payload] : keys)
            items.push_back({key, payload, ++revision, 0, false, {}, 0});
        const auto changed =
            mirror.apply(items, revision, cj::time_point{100s});
        view.update(mirror, changed);
    }

    [[nodiscard]] std::uint64_t newest() const { return view.newest("m"); }

    [[nodiscard]] std::uint64_t binding() const
    {
        const auto found = view.minimum_versions().find("m");
        return found == view.minimum_versions().end() ? 0 : found->second;
    }

    cj::store_mirror mirror;
    cj::fleet_view<version_platform> view;
    std::uint64_t revision{0};
};

} // namespace

SCENARIO("an absurd record of versions is not believed", "[fleet]")
{
    constexpr std::uint64_t absurd = 1'000'000'000'000;
    reader read;

    SECTION("beside a name, whichever is read first")
    {
        const auto name_first = GENERATE(true, false);
        if (name_first)
            read.put({named(3), recorded(absurd, absurd)});
        else
            read.put({recorded(absurd, absurd), named(3)});
        CHECK(read.newest() == 3);
        CHECK(read.binding() == 0);
        CHECK(read.view.newest_stored("m") == 3);
    }
    SECTION("while no version was ever named")
    {
        read.put({recorded(absurd, absurd)});
        CHECK(read.newest() == 1);
        CHECK(read.binding() == 0);
    }
    SECTION("and the one that replaces it is")
    {
        read.put({named(3), recorded(absurd, absurd)});
        read.put({recorded(4, 3)});
        CHECK(read.newest() == 4);
        CHECK(read.binding() == 3);
    }
}

SCENARIO("a record of versions is believed as far as it may be right",
         "[fleet]")
{
    reader read;

    SECTION("it is ahead of a name that went back")
    {
        read.put({named(2), recorded(3, 3)});
        CHECK(read.newest() == 3);
        CHECK(read.binding() == 3);
    }
    SECTION("the number is large, and so is the name")
    {
        const auto name_first = GENERATE(true, false);
        if (name_first)
            read.put({named(70'000), recorded(70'001, 70'000)});
        else
            read.put({recorded(70'001, 70'000), named(70'000)});
        CHECK(read.newest() == 70'001);
        CHECK(read.binding() == 70'000);
    }
    SECTION("the large name is read after it")
    {
        read.put({recorded(70'001, 70'000)});
        CHECK(read.newest() == 1);
        read.put({named(70'000)});
        CHECK(read.newest() == 70'001);
        CHECK(read.binding() == 70'000);
    }
    SECTION("somebody else tells the large number")
    {
        read.put({recorded(70'001, 70'000)});
        read.view.add_version("m", 70'000, cj::time_point{100s});
        CHECK(read.newest() == 70'001);
    }
    SECTION("the name was large while this process lived, and went back")
    {
        read.put({named(70'000)});
        read.put({named(2)});
        read.put({recorded(70'000, 70'000)});
        CHECK(read.binding() == 70'000);
    }
}
