/*! @file
 * @brief Counts the memory that requests hold, and decides which of them are
 * refused when it is short; pure.
 */
#ifndef COURSEJUNCTION_NET_REQUEST_BUDGET_HPP
#define COURSEJUNCTION_NET_REQUEST_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Memory of all requests together, from their first byte until their
 * response has ended, with a bound.
 *
 * A request that was received is not refused any more: it may run already. Of
 * those that are being received, the ones go first whose client sends nothing.
 * @tparam Key Identifies a request. */
template <typename Key>
class request_budget
{
public:
    /*! @brief A client that has sent less than `progress_bytes` for this long
     * counts as stalled. */
    static constexpr milliseconds stalled_after{500};
    static constexpr std::size_t progress_bytes = 16'384;

    /*! @brief Sets the bound on the sum; 0: no bound. */
    void limit(std::size_t bytes) { bound = bytes; }

    /*! @brief Records how many bytes a request holds that is being received. */
    void receiving(Key key, std::size_t bytes, time_point now)
    {
        const auto [found, added] = receivers.try_emplace(key);
        auto& request = found->second;
        if (added)
            request.began_at = request.progressed_at = now;
        if (bytes >= request.progress_mark + progress_bytes)
        {
            request.progress_mark = bytes;
            request.progressed_at = now;
        }
        receiving_sum += bytes;
        receiving_sum -= request.bytes;
        request.bytes = bytes;
    }

    /*! @brief Records that a request was received whole. */
    void received(Key key, std::size_t bytes)
    {
        erase(key);
        if (bytes == 0)
            return;
        handled.emplace(key, bytes);
        handled_sum += bytes;
    }

    /*! @brief Forgets a request and what it holds. */
    void erase(Key key)
    {
        if (const auto found = receivers.find(key); found != receivers.end())
        {
            receiving_sum -= found->second.bytes;
            receivers.erase(found);
        }
        if (const auto found = handled.find(key); found != handled.end())
        {
            handled_sum -= found->second;
            handled.erase(found);
        }
    }

    [[nodiscard]] std::size_t total() const noexcept
    {
        return receiving_sum + handled_sum;
    }

    /*! @brief Returns whether a request of a size may be received. It may take
     * half of what the requests that are handled leave: large ones are refused
     * first, so that small ones are served while large ones wait. */
    [[nodiscard]] bool admits(std::size_t bytes) const noexcept
    {
        if (bound == 0)
            return true;
        const auto free = bound - std::min(bound, handled_sum);
        return bytes <= free / 2 || (handled_sum == 0 && bytes <= bound);
    }

    /*! @brief Returns the request to refuse next, if the bound is exceeded: of
     * those that are being received and hold at least half of the average, the
     * one that has stalled for the longest time, or else the newest. Smaller
     * ones would free too little. */
    [[nodiscard]] std::optional<Key> excess(time_point now) const
    {
        if (bound == 0 || total() <= bound || receivers.empty())
            return std::nullopt;
        const auto smallest = receiving_sum / receivers.size() / 2;
        const auto stalled_before = now - stalled_after;
        std::optional<Key> stalled;
        std::optional<Key> newest;
        time_point stalled_since{};
        time_point began{};
        for (const auto& [key, request] : receivers)
        {
            if (request.bytes < smallest)
                continue;
            if (request.progressed_at <= stalled_before &&
                (!stalled || request.progressed_at < stalled_since))
            {
                stalled = key;
                stalled_since = request.progressed_at;
            }
            if (!newest || request.began_at > began)
            {
                newest = key;
                began = request.began_at;
            }
        }
        return stalled ? stalled : newest;
    }

private:
    struct receiver
    {
        std::size_t bytes{0};
        std::size_t progress_mark{0}; /*!< Bytes at `progressed_at`. */
        time_point began_at{};
        time_point progressed_at{};
    };

    std::unordered_map<Key, receiver> receivers;
    std::unordered_map<Key, std::size_t> handled;
    std::size_t receiving_sum{0};
    std::size_t handled_sum{0};
    std::size_t bound{0};
};

} // namespace coursejunction

#endif
