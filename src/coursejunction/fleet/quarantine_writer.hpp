/*! @file
 * @brief Keeps quarantines in the platform's store, where they outlast the
 * processes that found them.
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

/*! @brief Writes single keys of a store while they are at a revision; 0 for a
 * key that is absent. Answers come on the loop's thread: whether it was written
 * (false: the key is at another revision), or `unavailable`. */
template <typename Store>
concept Writable_store = requires(Store& store, const std::string& key,
                                  const std::string& payload,
                                  std::uint64_t revision, milliseconds lasts,
                                  std::function<void(result<bool>)> done)
{
    store.put(key, payload, revision, lasts, done);
    store.remove(key, revision, done);
};

/*! @brief One call at a time; what fails is tried again. Quarantines are rare:
 * each has cost three upstreams.
 * @tparam Store A `Writable_store`. */
template <typename Store>
class quarantine_writer
{
public:
    /*! @brief An item goes by itself after so long, the longest that the
     * platform's leases last; a quarantine whose trial fails is written anew.
     */
    static constexpr milliseconds lifetime{600'000};

    /*! @brief Pauses after writes that failed: the store was away, or another
     * entry wrote first and the mirror does not show it yet, which takes 0.1 to
     * 0.6 s. */
    static constexpr milliseconds first_pause{500};
    static constexpr milliseconds longest_pause{10'000};

    /*! @brief Writes that wait, at most; further ones are not kept, and said
     * so. */
    static constexpr std::size_t most_waiting = 64;

    /*! @param seed Another one for each entry. */
    quarantine_writer(event_loop& owner, Store& service,
                      const store_mirror& held, metrics& counted,
                      std::uint32_t seed)
        : store(service), mirror(held), counters(counted),
          writer(owner, counted, "quarantine_writes_total",
                 backoff(first_pause, longest_pause, seed))
    {
    }

    /*! @brief Keeps a quarantine, in place of an earlier record of it. */
    void persist(const request_content& what, std::string payload)
    {
        want(what, {std::move(payload), false});
    }

    /*! @brief Keeps a quarantine that the store lost, unless another entry
     * writes it first. */
    void restore(const request_content& what, std::string payload)
    {
        if (!wanted.contains(what))
            want(what, {std::move(payload), true});
    }

    /*! @brief A quarantine is over before its time. */
    void remove(const request_content& what)
    {
        const auto* kept = mirror.find(quarantine_key(what));
        const bool coming = wanted.contains(what) || under_way == what;
        if (kept != nullptr || coming)
            want(what, {std::nullopt, false});
    }

    /*! @brief Returns how many writes are not done yet. */
    [[nodiscard]] std::size_t pending() const { return wanted.size(); }

private:
    /*! @brief What an item is to be. */
    struct target
    {
        std::optional<std::string> payload; /*!< Nothing: it is to go. */
        bool only_absent{false}; /*!< Whatever the store holds is as good. */

        friend bool operator==(const target&, const target&) = default;
    };

    void want(const request_content& what, target next)
    {
        if (wanted.size() >= most_waiting && !wanted.contains(what))
        {
            counters.count("quarantine_writes_dropped_total");
            return log::warning(
                "quarantine_not_kept",
                {{"content", what.hex()}, {"why", "too many writes wait"}});
        }
        wanted[what] = std::move(next);
        go_on();
    }

    void go_on()
    {
        if (writer.busy() || wanted.empty())
            return;
        const auto [what, next] = *wanted.begin();
        const auto key = quarantine_key(what);
        const auto* kept = mirror.find(key);
        const auto revision = kept == nullptr ? 0 : kept->revision;
        const bool done_already =
            next.payload ? next.only_absent && kept != nullptr : revision == 0;
        if (done_already)
        {
            wanted.erase(what);
            return go_on();
        }
        under_way = what;
        const auto done =
            writer.begin([this, written = next](write_outcome outcome,
                                                const std::string& why)
                         { ended(written, outcome, why); });
        if (next.payload)
            store.put(key, *next.payload, revision, lifetime, done);
        else
            store.remove(key, revision, done);
    }

    void ended(const target& written, write_outcome outcome,
               const std::string& why)
    {
        const auto what = *std::exchange(under_way, std::nullopt);
        const bool good = outcome == write_outcome::written;
        const auto found = wanted.find(what);
        if (good && found != wanted.end() && found->second == written)
            wanted.erase(found);
        if (good)
            writer.succeeded();
        else
            rest(what, outcome == write_outcome::conflict
                           ? "another entry wrote it"
                           : why);
        go_on();
    }

    void rest(const request_content& what, const std::string& why)
    {
        log::state("quarantine_not_written",
                   {{"content", what.hex()}, {"why", why}});
        writer.rest([this] { go_on(); });
    }

    Store& store;
    const store_mirror& mirror;
    metrics& counters;
    std::map<request_content, target> wanted;
    std::optional<request_content> under_way;
    key_writer writer;
};

} // namespace coursejunction

#endif
