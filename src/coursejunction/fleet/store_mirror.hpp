/*! @file
 * @brief In-memory copy of the part of the platform's store that a process
 * needs.
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

/*! @brief Last known value of one key. */
struct mirrored_value
{
    std::string payload;
    std::string packed; /*!< The compressed payload, as sent to peers; empty if
                           the payload is small. */
    std::uint64_t revision{0};
    time_point first_seen{}; /*!< When any process first saw this value. */
    bool removed{false};
    std::uint64_t era{0}; /*!< Era of the store in which the revision counts. */
    item_order order{}; /*!< Order of the last value, if the key is removed. */
    bool lost{false}; /*!< The key is missing because the store was rolled back,
                         not because it was removed. */

    [[nodiscard]] store_position position() const { return {era, revision}; }
};

/*! @brief Decompresses the values of a page from a peer.
 * @return The page with payloads, or `refused` if a value does not have the
 * stated size. */
[[nodiscard]] inline result<message::mirror_page>
unpack_page(message::mirror_page page)
{
    for (auto& item : page.items)
    {
        if (item.packed.empty())
            continue;
        auto plain = unpack(item.packed, item.plain_bytes);
        if (!plain)
            return failure(plain.error().kind,
                           item.key + ": " + plain.error().message);
        item.payload = std::move(plain.value());
    }
    return page;
}

/*! @brief Keys with their revisions. A key never goes back to an older value,
 * so pages may come from the store or from any peer, in any order and more than
 * once. Removed keys are kept as tombstones, so that a mirror that missed the
 * removal learns of it.
 *
 * A store that was restored from an older snapshot (rolled back) begins a new
 * era and has lost writes that it had acknowledged. Values of different eras
 * are compared by the order that their writers gave them: a known value stays
 * valid, and a removed key stays removed, until a writer writes the key again.
 */
class store_mirror
{
public:
    using items = std::vector<message::mirror_item>;

    store_mirror() = default;
    explicit store_mirror(item_rules given) : rules(std::move(given)) {}

    /*! @brief Applies a page of changes. Items may be of an earlier era than
     * the position of the page, and that of a later era than the mirror.
     * @param complete_to Position up to which the mirror is complete
     * afterwards.
     * @return The keys that changed, each once. */
    std::vector<std::string> apply(const items& changes,
                                   store_position complete_to, time_point now)
    {
        std::vector<std::string> changed;
        std::set<std::string_view> seen;
        bool has_older_era = false;
        for (const auto& item : changes)
        {
            if (!was_removed(item) && put(item, now) &&
                seen.insert(item.key).second)
                changed.push_back(item.key);
            has_older_era = has_older_era || item.era < mirrored_to.era;
        }
        const bool new_era = complete_to.era > mirrored_to.era;
        mirrored_to = std::max(mirrored_to, complete_to);
        if (has_older_era || new_era || carried_count > 0)
            update_carried_count();
        return changed;
    }

    /*! @brief Applies a listing of the store as of a position, which shows no
     * removals. A value or removal that the listing contradicts is corrected,
     * if it is of the same era and not newer than the listing.
     * @return The keys that changed. */
    std::vector<std::string> replace(const items& listing, store_position as_of,
                                     time_point now)
    {
        auto changed = replace(listing, {}, as_of, as_of, now);
        for (const auto& item : listing)
        {
            if (correct(item, as_of, now))
                changed.push_back(item.key);
        }
        return changed;
    }

    /*! @brief Applies a page of a peer, whole or not. Removals that its sender
     * may not know are unknown to this mirror too.
     * @return The keys that changed, each once. */
    std::vector<std::string> merge(const message::mirror_page& page,
                                   time_point now)
    {
        // A peer of an earlier release does not tell what it knows.
        const bool has_extent = !page.extent.items.empty();
        const auto extent = has_extent
                                ? page.extent.items.front()
                                : message::page_extent{page.position, {}};
        if (page.whole)
            return replace(page.items, extent.unchanged_keys, page.position,
                           extent.removals_known_from, now);
        note_unknown_removals(page.position, extent.removals_known_from);
        return apply(page.items, page.position, now);
    }

    /*! @brief Returns what changed after a position, and the values carried
     * over from earlier eras. Large values are compressed. The page is whole if
     * removals since that position may be unknown here. */
    [[nodiscard]] message::mirror_page changes_since(store_position after,
                                                     time_point now) const
    {
        return page_since(after, page_format::all_values, now);
    }

    /*! @brief Returns the same for a requester that understands
     * `message::page_extent`. Of the values that it already has, a whole page
     * names the keys only. */
    [[nodiscard]] message::mirror_page changes_with_extent(store_position after,
                                                           time_point now) const
    {
        return page_since(after, page_format::unchanged_keys, now);
    }

    /*! @brief Returns a key's value, or null if it is absent or removed. */
    [[nodiscard]] const mirrored_value* find(const std::string& key) const
    {
        const auto found = values.find(key);
        return found == values.end() || found->second.removed ? nullptr
                                                              : &found->second;
    }

    /*! @brief Returns whether a key is absent although no removal is known: the
     * store never had it, or lost it in a rollback. */
    [[nodiscard]] bool absent_without_removal(const std::string& key) const
    {
        const auto found = values.find(key);
        return found == values.end() ||
               (found->second.removed && found->second.lost);
    }

    /*! @brief Returns all keys, including tombstones. */
    [[nodiscard]] const std::map<std::string, mirrored_value>& all() const
    {
        return values;
    }

    /*! @brief Returns the position up to which the mirror is complete; `{0, 0}`
     * if nothing was read yet. */
    [[nodiscard]] store_position position() const noexcept
    {
        return mirrored_to;
    }

    /*! @brief Returns the position from which on the mirror knows every
     * removal; one from before may be unknown if this mirror never had the key.
     */
    [[nodiscard]] store_position removals_known_from() const noexcept
    {
        return unknown_removals.before;
    }

    /*! @brief Returns the number of values carried over from earlier eras. */
    [[nodiscard]] std::uint32_t carried() const noexcept
    {
        return carried_count;
    }

private:
    /*! @brief Positions between which removals may be unknown. A listing shows
     * what exists: of a key that was written and removed since the last known
     * position it shows nothing. */
    struct removal_gap
    {
        [[nodiscard]] bool contains(store_position at) const
        {
            return at > after && at < before;
        }

        void extend(store_position from, store_position to)
        {
            after = before == store_position{} ? from : std::min(after, from);
            before = std::max(before, to);
        }

        store_position after;
        store_position before;
    };

    /*! @brief What a whole page has of values that did not change since the
     * requested position. */
    enum class page_format : std::uint8_t
    {
        all_values,
        unchanged_keys
    };

    [[nodiscard]] message::mirror_page
    page_since(store_position after, page_format format, time_point now) const
    {
        const bool earlier_era = after.era < mirrored_to.era;
        message::mirror_page page;
        page.position = mirrored_to;
        page.whole = earlier_era || unknown_removals.contains(after);
        page.carried = carried();
        const bool by_key =
            page.whole && !earlier_era && format == page_format::unchanged_keys;
        message::page_extent extent{unknown_removals.before, {}};
        for (const auto& [key, value] : values)
        {
            const bool from_earlier_era =
                value.era < mirrored_to.era && !value.removed;
            if (value.position() > after || from_earlier_era ||
                (page.whole && !by_key))
                page.items.push_back(to_item(key, value, now));
            else if (by_key && !value.removed)
                extent.unchanged_keys.push_back(key);
        }
        if (format == page_format::unchanged_keys)
            page.extent.items.push_back(std::move(extent));
        return page;
    }

    /*! @brief Applies a listing of all keys as of a position. A known key that
     * is not listed and not newer is removed. If it is from an earlier era it
     * is marked as lost, or kept if it survives a rollback.
     * @param unchanged Listed keys whose values this mirror already has.
     * @param removals_from Position after which the listing has all removals.
     * @return The keys that changed. */
    std::vector<std::string>
    replace(const items& listing, const std::vector<std::string>& unchanged,
            store_position as_of, store_position removals_from, time_point now)
    {
        std::vector<std::string> changed;
        std::set<std::string_view> listed(unchanged.begin(), unchanged.end());
        for (const auto& item : listing)
        {
            if (as_of < mirrored_to && was_removed(item))
                continue;
            if (!item.removed)
                listed.insert(item.key);
            if (put(item, now))
                changed.push_back(item.key);
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
        note_unknown_removals(as_of, removals_from);
        mirrored_to = std::max(mirrored_to, as_of);
        update_carried_count();
        return changed;
    }

    /*! @brief Takes a listed value in place of one that cannot have been in the
     * store at the position of the listing.
     * @return Whether it did. */
    bool correct(const message::mirror_item& item, store_position as_of,
                 time_point now)
    {
        const auto found = values.find(item.key);
        if (item.removed || found == values.end())
            return false;
        const auto& known = found->second;
        if (known.era != item.era || known.era != as_of.era ||
            known.revision <= item.revision || known.position() > as_of)
            return false;
        values.erase(found);
        return put(item, now);
    }

    /*! @brief Returns whether an item of a page that is older than the mirror
     * has been removed since. The mirror is complete up to its position, so an
     * unknown key with an older position has been removed by then. An exception
     * are values of an earlier era that survive a rollback. */
    [[nodiscard]] bool was_removed(const message::mirror_item& item) const
    {
        return item.position() <= mirrored_to && !values.contains(item.key) &&
               !(item.era < mirrored_to.era && survives_rollback(item.key));
    }

    /*! @brief Notes that the mirror advances although removals up to a position
     * may be missing. */
    void note_unknown_removals(store_position advances_to,
                               store_position removals_from)
    {
        if (advances_to > mirrored_to && removals_from > mirrored_to)
            unknown_removals.extend(mirrored_to, removals_from);
    }

    void update_carried_count()
    {
        carried_count = static_cast<std::uint32_t>(
            std::count_if(values.begin(), values.end(),
                          [&](const auto& known) {
                              return !known.second.removed &&
                                     known.second.era < mirrored_to.era;
                          }));
    }

    [[nodiscard]] bool survives_rollback(const std::string& key) const
    {
        return rules.survives_rollback && rules.survives_rollback(key);
    }

    /*! @brief Returns the order of a value, or of the last value of a
     * tombstone.
     * @tparam Value A `mirrored_value` or a `mirror_item`. */
    template <typename Value>
    [[nodiscard]] item_order order_of(const std::string& key,
                                      const Value& value) const
    {
        if (value.removed || !rules.order)
            return value.order;
        return rules.order(key, value.payload);
    }

    /*! @brief Returns whether an item replaces a known value of another era. */
    [[nodiscard]] bool replaces(const message::mirror_item& item,
                                const mirrored_value& known) const
    {
        const bool later = item.era > known.era;
        const auto next = order_of(item.key, item);
        const auto before = order_of(item.key, known);
        const bool unordered = next == item_order{} && before == item_order{};
        if (unordered || (item.removed && known.removed))
            return later;
        if (known.removed)
            return later && (next > before || known.lost);
        if (item.removed)
            return later || (before <= next && !item.lost);
        return next == before ? later : next > before;
    }

    /*! @brief Applies an item if it is newer.
     * @return Whether the value of the key changed. */
    bool put(const message::mirror_item& item, time_point now)
    {
        const auto [found, added] = values.try_emplace(item.key);
        auto& value = found->second;
        const bool is_newer =
            added || (item.era == value.era ? item.revision > value.revision
                                            : replaces(item, value));
        if (!is_newer)
            return false;
        // A value that is rewritten unchanged in a new era is no change.
        const bool unchanged = !added && item.removed == value.removed &&
                               item.era != value.era &&
                               item.payload == value.payload;
        const auto before = added ? item_order{} : order_of(item.key, value);
        value.order =
            item.removed ? std::max(item.order, before) : item_order{};
        value.revision = item.revision;
        value.era = item.era;
        value.removed = item.removed;
        value.lost = item.lost;
        if (unchanged)
            return false;
        value.payload = item.payload;
        // Compressed once, by the process that read it from the store. All
        // others relay what they received.
        value.packed =
            item.packed.empty() && value.payload.size() >= min_packed_bytes
                ? pack(value.payload)
                : item.packed;
        value.first_seen = now - milliseconds(item.age_ms);
        return true;
    }

    static message::mirror_item
    to_item(const std::string& key, const mirrored_value& value, time_point now)
    {
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - value.first_seen);
        const bool is_packed = !value.packed.empty();
        return {key,
                is_packed ? std::string() : value.payload,
                value.revision,
                static_cast<std::uint64_t>(age.count()),
                value.removed,
                value.packed,
                is_packed ? value.payload.size() : 0,
                value.era,
                value.order,
                value.lost};
    }

    item_rules rules;
    std::map<std::string, mirrored_value> values;
    store_position mirrored_to;
    removal_gap unknown_removals;
    /*! @brief Values carried over from earlier eras. */
    std::uint32_t carried_count{0};
};

} // namespace coursejunction

#endif
