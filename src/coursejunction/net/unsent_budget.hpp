/*! @file
 * @brief Counts the bytes that connections hold for peers that have not taken
 * them yet, and selects the slowest reader; pure.
 */
#ifndef COURSEJUNCTION_NET_UNSENT_BUDGET_HPP
#define COURSEJUNCTION_NET_UNSENT_BUDGET_HPP

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Unsent bytes of all connections together, with a bound. The work for
 * each change is constant; only `slowest` visits all connections.
 * @tparam Key Identifies a connection. */
template <typename Key>
class unsent_budget
{
public:
    /*! @brief Sets the bound on the sum; 0: no bound. */
    void limit(std::size_t bytes) { bound = bytes; }

    /*! @brief Records bytes that were queued for a connection. */
    void add(Key key, std::size_t bytes, time_point now)
    {
        auto& holder = holders[key];
        if (holder.bytes == 0)
            holder.progressed_at = now;
        holder.bytes += bytes;
        sum += bytes;
    }

    /*! @brief Records that a peer took bytes, some of which may still count as
     * held.
     * @param released Bytes that are no longer held. */
    void taken(Key key, std::size_t released, time_point now)
    {
        const auto found = holders.find(key);
        if (found == holders.end())
            return;
        found->second.progressed_at = now;
        found->second.bytes -= released;
        sum -= released;
    }

    /*! @brief Forgets a connection and what it holds. */
    void erase(Key key)
    {
        const auto found = holders.find(key);
        if (found == holders.end())
            return;
        sum -= found->second.bytes;
        holders.erase(found);
    }

    [[nodiscard]] std::size_t total() const noexcept { return sum; }

    [[nodiscard]] bool exceeded() const noexcept
    {
        return bound > 0 && sum > bound;
    }

    /*! @brief Returns the connection to cut next, if the bound is exceeded: of
     * those that hold at least half of the average, the one whose peer has
     * taken nothing for the longest time. Smaller ones would free too little.
     */
    [[nodiscard]] std::optional<Key> slowest() const
    {
        if (!exceeded())
            return std::nullopt;
        std::size_t holding = 0;
        for (const auto& [key, holder] : holders)
            holding += holder.bytes > 0 ? 1 : 0;
        const auto smallest = sum / holding / 2;
        std::optional<Key> found;
        time_point oldest{};
        for (const auto& [key, holder] : holders)
        {
            if (holder.bytes <= smallest ||
                (found && holder.progressed_at >= oldest))
                continue;
            found = key;
            oldest = holder.progressed_at;
        }
        return found;
    }

private:
    struct held_bytes
    {
        std::size_t bytes{0};
        time_point progressed_at{}; /*!< When its peer last took bytes, or when
                                       the first ones were queued. */
    };

    std::unordered_map<Key, held_bytes> holders;
    std::size_t sum{0};
    std::size_t bound{0};
};

} // namespace coursejunction

#endif
