/*! @file
 * @brief A process's copy of the part of the platform's store that it needs.
 */
#ifndef COURSEJUNCTION_FLEET_STORE_MIRROR_HPP
#define COURSEJUNCTION_FLEET_STORE_MIRROR_HPP

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/wire/fleet_message.hpp"
#include "coursejunction/wire/packed.hpp"

namespace coursejunction
{

/*! @brief One key as the store last showed it. */
struct mirrored_value
{
    std::string payload;
    std::string packed; /*!< The payload for peers; empty for a small one. */
    std::uint64_t revision{0};
    time_point learnt{}; /*!< When the first process that told us knew it. */
    bool removed{false};
};

/*! @brief Unpacks the values of a page that a peer sent.
 * @return The page with payloads, or `refused` when one is not what it tells.
 */
[[nodiscard]] inline result<message::mirror_page>
unpacked(message::mirror_page page)
{
    for (auto& one : page.items)
    {
        if (one.packed.empty())
            continue;
        auto plain = unpack(one.packed, one.plain_bytes);
        if (!plain)
            return failure(plain.error().kind,
                           one.key + ": " + plain.error().message);
        one.payload = std::move(plain.value());
    }
    return page;
}

/*! @brief Keys with their revisions; only goes forward. Whoever tells an older
 * state of a key changes nothing, so pages may come from the store or from any
 * other process, in any order and more than once. Removed keys stay as marks,
 * so that a mirror that missed the removal learns of it. */
class store_mirror
{
public:
    using items = std::vector<message::mirror_item>;

    /*! @brief Takes changes that complete the mirror up to a revision.
     * @return The keys that changed. */
    std::vector<std::string> apply(const items& changes,
                                   std::uint64_t complete_to, time_point now)
    {
        std::vector<std::string> changed;
        for (const auto& one : changes)
        {
            // The mirror is whole up to its revision: a key that it does not
            // know was gone by then, whoever still tells of it.
            const bool outdated =
                one.revision <= upto && !values.contains(one.key);
            if (!outdated && put(one, now))
                changed.push_back(one.key);
        }
        upto = std::max(upto, complete_to);
        return changed;
    }

    /*! @brief Takes a listing of every key as of a revision: what is not in
     * it and not newer is gone.
     * @return The keys that changed. */
    std::vector<std::string> replace(const items& all, std::uint64_t as_of,
                                     time_point now)
    {
        std::vector<std::string> changed;
        std::set<std::string_view> listed;
        for (const auto& one : all)
        {
            listed.insert(one.key);
            if (put(one, now))
                changed.push_back(one.key);
        }
        for (auto& [key, value] : values)
        {
            if (value.removed || value.revision > as_of || listed.contains(key))
                continue;
            value = mirrored_value{{}, {}, as_of, now, true};
            changed.push_back(key);
        }
        upto = std::max(upto, as_of);
        return changed;
    }

    /*! @brief Returns what changed after a revision; large values packed. */
    [[nodiscard]] message::mirror_page since(std::uint64_t after,
                                             time_point now) const
    {
        message::mirror_page page;
        page.revision = upto;
        for (const auto& [key, value] : values)
        {
            if (value.revision <= after)
                continue;
            const auto age =
                std::chrono::duration_cast<milliseconds>(now - value.learnt);
            const bool packs = !value.packed.empty();
            page.items.push_back(
                {key, packs ? std::string() : value.payload, value.revision,
                 static_cast<std::uint64_t>(age.count()), value.removed,
                 value.packed, packs ? value.payload.size() : 0});
        }
        return page;
    }

    /*! @brief Returns a key's value, or null when it is absent. */
    [[nodiscard]] const mirrored_value* find(const std::string& key) const
    {
        const auto found = values.find(key);
        return found == values.end() || found->second.removed ? nullptr
                                                              : &found->second;
    }

    /*! @brief Returns every key, removed ones included. */
    [[nodiscard]] const std::map<std::string, mirrored_value>& all() const
    {
        return values;
    }

    /*! @brief Returns the revision up to which the mirror is whole; 0 when
     * nothing was ever read. */
    [[nodiscard]] std::uint64_t revision() const noexcept { return upto; }

private:
    bool put(const message::mirror_item& one, time_point now)
    {
        auto& value = values[one.key];
        if (one.revision <= value.revision)
            return false;
        value.payload = one.payload;
        // Packed once by the process that heard it from the store: all others
        // pass on what they were sent.
        value.packed =
            one.packed.empty() && value.payload.size() >= least_packed
                ? pack(value.payload)
                : one.packed;
        value.revision = one.revision;
        value.removed = one.removed;
        value.learnt = now - milliseconds(one.age_ms);
        return true;
    }

    std::map<std::string, mirrored_value> values;
    std::uint64_t upto{0};
};

} // namespace coursejunction

#endif
