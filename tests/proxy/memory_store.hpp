/*! @file
 * @brief An in-memory store for tests of entries. */
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

/*! @brief The content of the store, which outlives the processes that use it.
 */
struct store_content
{
    /*! @brief Writes a key unconditionally. */
    void write(const std::string& key, const std::string& payload)
    {
        items[key] = {key, payload, ++revision, 0, false, {}, 0};
        history.push_back(items[key]);
    }

    /*! @brief Removes a key. Watches report it, except with
     * `watch_returns_history`. */
    void remove(const std::string& key)
    {
        items[key] = {key, {}, ++revision, 0, true, {}, 0};
    }

    [[nodiscard]] bool holds(const std::string& key) const
    {
        const auto found = items.find(key);
        return found != items.end() && !found->second.removed;
    }

    /*! @brief Rolls back to a snapshot: later writes are lost, and their
     * revisions are assigned again. */
    void restore_from(const store_content& snapshot)
    {
        const auto next_era = era + 1;
        *this = snapshot;
        era = next_era;
    }

    std::map<std::string, cj::message::mirror_item> items;
    std::vector<cj::message::mirror_item> history;
    std::uint64_t revision{0};
    std::uint64_t era{1}; /*!< Rises with each rollback. */
    bool available{true}; /*!< Otherwise the calls of all processes fail. */
    bool watch_returns_history{
        false}; /*!< Watches also return overwritten values. */
};

/*! @brief Access of one process to the store. */
class memory_store
{
public:
    using page_callback = std::function<void(cj::result<cj::store_page>)>;
    using write_callback = std::function<void(cj::result<bool>)>;

    /*! @param is_reachable Whether calls reach the store; otherwise they fail.
     */
    memory_store(cj::event_loop& owner, store_content& content,
                 bool is_reachable = true)
        : loop(owner), keys(content), reachable(is_reachable)
    {
    }

    void list(const page_callback& done)
    {
        if (!reaches_store())
            return fail(done);
        respond([this, done] { done(changed_after(0)); });
    }

    void watch(std::uint64_t after, cj::milliseconds wait,
               const page_callback& done)
    {
        if (!reaches_store())
            return fail(done);
        const auto deadline = cj::event_loop::now() + wait;
        poll(after, deadline, done);
    }

    void cancel() { call.stop(); }

    [[nodiscard]] static std::chrono::microseconds distance() { return {}; }

    void put(const std::string& key, const std::string& payload,
             std::uint64_t revision, cj::milliseconds,
             const write_callback& done)
    {
        const auto current = keys.holds(key) ? keys.items.at(key).revision : 0;
        if (current != revision)
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
        const bool existed = keys.holds(key);
        if (existed)
            keys.remove(key);
        done(existed);
    }

private:
    static constexpr cj::milliseconds response_delay{2};

    [[nodiscard]] bool reaches_store() const
    {
        return reachable && keys.available;
    }

    void respond(std::function<void()> work)
    {
        call = loop.after(response_delay, std::move(work));
    }

    void fail(const page_callback& done)
    {
        respond(
            [done]
            {
                done(cj::failure(cj::error_kind::unavailable,
                                 "the store is out of reach"));
            });
    }

    void poll(std::uint64_t after, cj::time_point deadline,
              const page_callback& done)
    {
        respond(
            [this, after, deadline, done]
            {
                if (!keys.available)
                    return fail(done);
                if (after > keys.revision)
                    return done(cj::failure(cj::error_kind::not_found,
                                            "no such revision"));
                if (keys.revision <= after && cj::event_loop::now() < deadline)
                    return poll(after, deadline, done);
                done(keys.watch_returns_history ? written_after(after)
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
    store_content& keys;
    bool reachable;
    cj::timer call;
};

} // namespace proxy_test

#endif
