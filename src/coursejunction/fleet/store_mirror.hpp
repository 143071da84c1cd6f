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
#include "coursejunction/core/store_position.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/item_rules.hpp"
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
    time_point
        first_seen{}; /*!< When the first process that told us knew it. */
    bool removed{false};
    std::uint64_t era{0}; /*!< Of the store, that counts the revision. */
    item_order order{};   /*!< Of the last value, where it is removed. */
    bool lost{false};     /*!< Removed since a store came back without it. */

    [[nodiscard]] store_position position() const { return {era, revision}; }
};

/*! @brief Unpacks the values of a page that a peer sent.
 * @return The page with payloads, or `refused` when one is not what it tells.
 */
[[nodiscard]] inline result<message::mirror_page>
unpack_page(message::mirror_page page)
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
 * so that a mirror that missed the removal learns of it.
 *
 * A store that comes back from an older copy lacks what it had acknowledged
 * since. Across its eras values are compared by their writers' own order: what
 * is known stands, and what was removed stays removed, until it is written
 * anew. */
class store_mirror
{
public:
    using items = std::vector<message::mirror_item>;

    store_mirror() = default;
    explicit store_mirror(item_rules how) : rules(std::move(how)) {}

    /*! @brief Takes changes that complete the mirror up to a position of the
     * same era.
     * @return The keys that changed, each once. */
    std::vector<std::string> apply(const items& changes,
                                   store_position complete_to, time_point now)
    {
        std::vector<std::string> changed;
        std::set<std::string_view> seen;
        bool older = false;
        for (const auto& one : changes)
        {
            // The mirror is whole up to its position: a key that it does not
            // know was gone by then, whoever still tells of it.
            const bool outdated =
                one.position() <= mirrored_to && !values.contains(one.key) &&
                !(one.era < mirrored_to.era && survives_rollback(one.key));
            if (!outdated && put(one, now) && seen.insert(one.key).second)
                changed.push_back(one.key);
            older = older || one.era < mirrored_to.era;
        }
        const bool crosses = complete_to.era > mirrored_to.era;
        mirrored_to = std::max(mirrored_to, complete_to);
        if (older || crosses || carried_count > 0)
            update_carried_count();
        return changed;
    }

    /*! @brief Takes a listing of every key as of a position: what is not in
     * it and not newer is gone.
     * @return The keys that changed. */
    std::vector<std::string> replace(const items& all, store_position as_of,
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
            if (value.removed || value.position() > as_of ||
                listed.contains(key))
                continue;
            const bool lost = value.era < as_of.era;
            if (lost && survives_rollback(key))
                continue;
            value = mirrored_value{{},   {},        as_of.revision,       now,
                                   true, as_of.era, order_of(key, value), lost};
            changed.push_back(key);
        }
        mirrored_to = std::max(mirrored_to, as_of);
        update_carried_count();
        return changed;
    }

    /*! @brief Returns what changed after a position, and what stands from
     * earlier eras; large values packed. */
    [[nodiscard]] message::mirror_page changes_since(store_position after,
                                                     time_point now) const
    {
        message::mirror_page page;
        page.position = mirrored_to;
        page.whole = after.era < mirrored_to.era;
        page.carried = carried();
        for (const auto& [key, value] : values)
        {
            const bool old = value.era < mirrored_to.era && !value.removed;
            if (value.position() > after || page.whole || old)
                page.items.push_back(to_item(key, value, now));
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

    /*! @brief Tells whether a key is absent and was not removed, as far as is
     * known: the store never showed it, or came back without it. */
    [[nodiscard]] bool absent_without_removal(const std::string& key) const
    {
        const auto found = values.find(key);
        return found == values.end() ||
               (found->second.removed && found->second.lost);
    }

    /*! @brief Returns every key, removed ones included. */
    [[nodiscard]] const std::map<std::string, mirrored_value>& all() const
    {
        return values;
    }

    /*! @brief Returns the position up to which the mirror is whole; the start
     * when nothing was ever read. */
    [[nodiscard]] store_position position() const noexcept
    {
        return mirrored_to;
    }

    /*! @brief Returns how many values stand from earlier eras of the store. */
    [[nodiscard]] std::uint32_t carried() const noexcept
    {
        return carried_count;
    }

private:
    void update_carried_count()
    {
        carried_count = static_cast<std::uint32_t>(std::count_if(
            values.begin(), values.end(),
            [&](const auto& one) {
                return !one.second.removed && one.second.era < mirrored_to.era;
            }));
    }

    [[nodiscard]] bool survives_rollback(const std::string& key) const
    {
        return rules.survives_rollback && rules.survives_rollback(key);
    }

    /*! @tparam Value A `mirrored_value` or a `mirror_item`. */
    template <typename Value>
    [[nodiscard]] item_order order_of(const std::string& key,
                                      const Value& value) const
    {
        if (value.removed || !rules.order)
            return value.order;
        return rules.order(key, value.payload);
    }

    /*! @brief Tells whether a value of another era takes the place of the one
     * that is known. */
    [[nodiscard]] bool replaces(const message::mirror_item& one,
                                const mirrored_value& known) const
    {
        const bool later = one.era > known.era;
        const auto next = order_of(one.key, one);
        const auto before = order_of(one.key, known);
        const bool unordered = next == item_order{} && before == item_order{};
        if (unordered || (one.removed && known.removed))
            return later;
        if (known.removed)
            return later && (next > before || known.lost);
        if (one.removed)
            return later || (before <= next && !one.lost);
        return next == before ? later : next > before;
    }

    bool put(const message::mirror_item& one, time_point now)
    {
        const auto [place, added] = values.try_emplace(one.key);
        auto& value = place->second;
        const bool follows =
            added || (one.era == value.era ? one.revision > value.revision
                                           : replaces(one, value));
        if (!follows)
            return false;
        // A value that a new era of the store confirms is no change.
        const bool same = !added && one.removed == value.removed &&
                          one.era != value.era && one.payload == value.payload;
        const auto before = added ? item_order{} : order_of(one.key, value);
        value.order = one.removed ? std::max(one.order, before) : item_order{};
        value.revision = one.revision;
        value.era = one.era;
        value.removed = one.removed;
        value.lost = one.lost;
        if (same)
            return false;
        value.payload = one.payload;
        // Packed once by the process that heard it from the store: all others
        // pass on what they were sent.
        value.packed =
            one.packed.empty() && value.payload.size() >= least_packed
                ? pack(value.payload)
                : one.packed;
        value.first_seen = now - milliseconds(one.age_ms);
        return true;
    }

    static message::mirror_item
    to_item(const std::string& key, const mirrored_value& value, time_point now)
    {
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - value.first_seen);
        const bool packs = !value.packed.empty();
        return {key,
                packs ? std::string() : value.payload,
                value.revision,
                static_cast<std::uint64_t>(age.count()),
                value.removed,
                value.packed,
                packs ? value.payload.size() : 0,
                value.era,
                value.order,
                value.lost};
    }

    item_rules rules;
    std::map<std::string, mirrored_value> values;
    store_position mirrored_to;
    std::uint32_t carried_count{0}; /*!< Values of earlier eras. */
};

} // namespace coursejunction

#endif
