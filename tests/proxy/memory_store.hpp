/*! @file
 * @brief A store in memory for entries under test.
 */
#ifndef COURSEJUNCTION_TESTS_PROXY_MEMORY_STORE_HPP
#define COURSEJUNCTION_TESTS_PROXY_MEMORY_STORE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/fleet/fleet_node.hpp"
#include "coursejunction/net/event_loop.hpp"

namespace proxy_test
{

namespace cj = coursejunction;

/*! @brief Keys that outlast the processes that read and write them. */
struct stored_keys
{
    /*! @brief Writes a key, whatever it holds. */
    void write(const std::string& key, const std::string& payload)
    {
        items[key] = {key, payload, ++revision, 0, false, {}, 0};
        history.push_back(items[key]);
    }

    /*! @brief Removes a key; watches tell so. */
    void remove(const std::string& key)
    {
        items[key] = {key, {}, ++revision, 0, true, {}, 0};
    }

    [[nodiscard]] bool holds(const std::string& key) const
    {
        const auto found = items.find(key);
        return found != items.end() && !found->second.removed;
    }

    /*! @brief Comes back from an older copy: what was written since is gone,
     * and its revisions are given out again. */
    void come_back(const stored_keys& copy)
    {
        const auto next = era + 1;
        *this = copy;
        era = next;
    }

    std::map<std::string, cj::message::mirror_item> items;
    std::vector<cj::message::mirror_item> history;
    std::uint64_t revision{0};
    std::uint64_t era{1};
    bool tells_history{false}; /*!< Watches tell overwritten values as well. */
};

/*! @brief One process's access to the keys. */
class memory_store
{
public:
    using page_callback = std::function<void(cj::result<cj::store_page>)>;
    using write_callback = std::function<void(cj::result<bool>)>;

    memory_store(cj::event_loop& owner, stored_keys& all)
        : loop(owner), keys(all)
    {
    }

    void list(const page_callback& done)
    {
        answer([this, done] { done(changed_after(0)); });
    }

    void watch(std::uint64_t after, cj::milliseconds wait,
               const page_callback& done)
    {
        const auto until = cj::event_loop::now() + wait;
        poll(after, until, done);
    }

    void cancel() { call.stop(); }

    [[nodiscard]] static std::chrono::microseconds distance() { return {}; }

    void put(const std::string& key, const std::string& payload,
             std::uint64_t revision, cj::milliseconds,
             const write_callback& done)
    {
        const auto at = keys.holds(key) ? keys.items.at(key).revision : 0;
        if (at != revision)
            return done(false);
        keys.write(key, payload);
        done(true);
    }

    void put_permanent(const std::string& key, const std::string& payload,
                       std::uint64_t revision, const write_callback& done)
    {
        put(key, payload, revision, {}, done);
    }

    void remove(const std::string& key, std::uint64_t,
                const write_callback& done)
    {
        const bool held = keys.holds(key);
        if (held)
            keys.remove(key);
        done(held);
    }

private:
    static constexpr cj::milliseconds answer_time{2};

    void answer(std::function<void()> work)
    {
        call = loop.after(answer_time, std::move(work));
    }

    void poll(std::uint64_t after, cj::time_point until,
              const page_callback& done)
    {
        answer(
            [this, after, until, done]
            {
                if (after > keys.revision)
                    return done(cj::failure(cj::error_kind::not_found,
                                            "no such revision"));
                if (keys.revision <= after && cj::event_loop::now() < until)
                    return poll(after, until, done);
                done(keys.tells_history ? written_after(after)
                                        : changed_after(after));
            });
    }

    [[nodiscard]] cj::store_page written_after(std::uint64_t after) const
    {
        cj::store_page page;
        page.position = {keys.era, keys.revision};
        for (const auto& item : keys.history)
        {
            if (item.revision <= after)
                continue;
            page.items.push_back(item);
            page.items.back().era = keys.era;
        }
        return page;
    }

    [[nodiscard]] cj::store_page changed_after(std::uint64_t after) const
    {
        cj::store_page page;
        page.position = {keys.era, keys.revision};
        for (const auto& [key, item] : keys.items)
        {
            if (item.revision <= after || (after == 0 && item.removed))
                continue;
            page.items.push_back(item);
            page.items.back().era = keys.era;
        }
        return page;
    }

    cj::event_loop& loop;
    stored_keys& keys;
    cj::timer call;
};

} // namespace proxy_test

#endif
