/*! @file
 * @brief Persists quarantines in the platform's store, so that they outlast the
 * processes that imposed them.
 */
#ifndef COURSEJUNCTION_FLEET_QUARANTINE_WRITER_HPP
#define COURSEJUNCTION_FLEET_QUARANTINE_WRITER_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "coursejunction/core/backoff.hpp"
#include "coursejunction/core/log.hpp"
#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/fleet/key_writer.hpp"
#include "coursejunction/fleet/quarantine_item.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction
{

/*! @brief A store in which a key can be written and removed conditionally, if
 * it is at a given revision; 0 for an absent key. A written key expires after
 * `ttl`. `done` is called on the loop's thread: true if the store was changed,
 * false if the key is at another revision, or `unavailable`. */
template <typename Store>
concept Writable_store = requires(Store& store, const std::string& key,
                                  const std::string& payload,
                                  std::uint64_t revision, milliseconds ttl,
                                  std::function<void(result<bool>)> done)
{
    store.put(key, payload, revision, ttl, done);
    store.remove(key, revision, done);
};

/*! @brief Writes one quarantine at a time, and repeats failed writes. One write
 * at a time suffices, since quarantines are rare: each is imposed only after
 * three upstreams crashed.
 * @tparam Store A `Writable_store`. */
template <typename Store>
class quarantine_writer
{
public:
    /*! @brief A key expires after this time, the longest that the platform's
     * leases allow. A quarantine whose trial request fails is written again. */
    static constexpr milliseconds key_ttl{600'000};

    /*! @brief Delays after failed writes: the store was unavailable, or another
     * entry wrote first and the mirror does not show it yet, which takes 0.1 to
     * 0.6 s. */
    static constexpr milliseconds initial_backoff{500};
    static constexpr milliseconds max_backoff{10'000};

    /*! @brief Limit on pending writes; further ones are dropped and logged. */
    static constexpr std::size_t max_pending = 64;

    /*! @param random_seed Must differ between entries. */
    quarantine_writer(event_loop& owner, Store& target,
                      const store_mirror& mirrored, metrics& registry,
                      std::uint32_t random_seed)
        : store(target), mirror(mirrored), counters(registry),
          writer(owner, registry, "quarantine_writes_total",
                 backoff(initial_backoff, max_backoff, random_seed))
    {
    }

    /*! @brief Writes a quarantine, and replaces an earlier record of it. */
    void persist(const request_content& content, std::string payload)
    {
        request(content, {std::move(payload), false});
    }

    /*! @brief Writes a quarantine that the store lost, unless another entry
     * writes it first. */
    void restore(const request_content& content, std::string payload)
    {
        if (!requested.contains(content))
            request(content, {std::move(payload), true});
    }

    /*! @brief Removes a quarantine that was lifted before it expired. */
    void remove(const request_content& content)
    {
        const auto* stored = mirror.find(quarantine_key(content));
        const bool queued = requested.contains(content) || writing == content;
        if (stored != nullptr || queued)
            request(content, {std::nullopt, false});
    }

    /*! @brief Returns the number of quarantines still to be written or removed.
     */
    [[nodiscard]] std::size_t pending() const { return requested.size(); }

private:
    /*! @brief A requested change of a key. */
    struct change
    {
        std::optional<std::string> payload; /*!< Empty: remove it. */
        bool only_if_absent{false};         /*!< Not over an existing value. */

        friend bool operator==(const change&, const change&) = default;
    };

    void request(const request_content& content, change next)
    {
        if (requested.size() >= max_pending && !requested.contains(content))
        {
            counters.count("quarantine_writes_dropped_total");
            return log::warning("quarantine_not_kept",
                                {{"content", content.hex()},
                                 {"why", "too many pending writes"}});
        }
        requested[content] = std::move(next);
        write_next();
    }

    void write_next()
    {
        if (writer.busy() || requested.empty())
            return;
        const auto [content, next] = *requested.begin();
        const auto key = quarantine_key(content);
        const auto* stored = mirror.find(key);
        const auto revision = stored == nullptr ? 0 : stored->revision;
        const bool done_already = next.payload
                                      ? next.only_if_absent && stored != nullptr
                                      : revision == 0;
        if (done_already)
        {
            requested.erase(content);
            return write_next();
        }
        writing = content;
        const auto done =
            writer.begin([this, written = next](write_outcome outcome,
                                                const std::string& why)
                         { finish(written, outcome, why); });
        if (next.payload)
            store.put(key, *next.payload, revision, key_ttl, done);
        else
            store.remove(key, revision, done);
    }

    void finish(const change& written, write_outcome outcome,
                const std::string& why)
    {
        const auto content = *std::exchange(writing, std::nullopt);
        const bool succeeded = outcome == write_outcome::written;
        const auto found = requested.find(content);
        if (succeeded && found != requested.end() && found->second == written)
            requested.erase(found);
        if (succeeded)
            writer.reset_backoff();
        else
            retry_later(content, outcome == write_outcome::conflict
                                     ? "another entry wrote the key"
                                     : why);
        write_next();
    }

    void retry_later(const request_content& content, const std::string& why)
    {
        log::state("quarantine_not_written",
                   {{"content", content.hex()}, {"why", why}});
        writer.back_off([this] { write_next(); });
    }

    Store& store;
    const store_mirror& mirror;
    metrics& counters;
    std::map<request_content, change> requested;
    std::optional<request_content> writing; /*!< The write in flight. */
    key_writer writer;
};

} // namespace coursejunction

#endif
