/*! @file
 * @brief Divides the request rate of cold upstreams between the entries; pure.
 * Load pattern: entries that are killed, start, freeze or stop hearing each
 * other while upstreams are cold. Every entry divides between all entries that
 * it has heard for long, also those that are silent now. If it left out silent
 * ones, both sides of a partition would send at the whole rate.
 */
#ifndef COURSEJUNCTION_ROUTE_COLD_DIVISION_HPP
#define COURSEJUNCTION_ROUTE_COLD_DIVISION_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/engine_shares.hpp"
#include "coursejunction/route/request_limit.hpp"

namespace coursejunction
{

/*! @brief The entries between which cold rates are divided. */
class cold_division
{
public:
    /*! @brief How long a silent entry keeps its share. It may be cut off and
     * still send; an unused share costs only a part of a cold start. */
    static constexpr milliseconds retention{120'000};

    /*! @brief A new process has no share for this long: it does not know the
     * other entries yet, and requests that its predecessor sent just before it
     * was killed count too. It covers several heartbeat intervals, as
     * some heartbeats are lost. A longer time would delay the first responses
     * after all processes were started at once. */
    static constexpr milliseconds settling_time{800};

    /*! @brief A new process that has not heard an entry whose address it knows
     * has no share for this long; it may be cut off from its start. */
    static constexpr milliseconds unheard_settling_time{30'000};

    /*! @brief Fraction of the rate that is divided. The rest is left for
     * requests that the network delays so that they arrive close together. */
    static constexpr double divided_fraction = 0.95;

    /*! @brief Smallest share in requests a second, where there are enough
     * entries. Each holder may exceed its share by 1.5 requests in any second,
     * so with fewer and larger shares the sum stays near the rate. */
    static constexpr double requests_per_holder = 4;

    /*! @brief Updates the entries; to be called periodically.
     * @param own_address Empty if this entry accepts no requests.
     * @param heard Entries that accept requests, this one included.
     * @param unheard_entries Entries known by address of which no heartbeat was
     * ever received.
     * @param leaving Addresses of entries that announced that they are leaving;
     * they send nothing more to cold upstreams. */
    void update(const std::string& own_address,
                const std::vector<entry_demand>& heard,
                std::size_t unheard_entries, time_point now,
                const std::vector<std::string>& leaving = {})
    {
        bool changed = settle(unheard_entries, now);
        changed = own != own_address || changed;
        own = own_address;
        for (const auto& entry : heard)
        {
            auto& known = remembered[entry.address];
            changed = known.hall != entry.hall ||
                      known.heard_at == time_point{} || changed;
            known = {entry.hall, now};
        }
        changed = std::erase_if(
                      remembered, [&](const auto& item)
                      { return now - item.second.heard_at > retention; }) > 0 ||
                  changed;
        for (const auto& address : leaving)
            changed = remembered.erase(address) > 0 || changed;
        if (!changed)
            return;
        ++current_revision;
        entries.clear();
        for (const auto& [address, known] : remembered)
            entries.push_back({known.hall, address, 0});
    }

    /*! @brief Returns this entry's share of the rate of an upstream. */
    [[nodiscard]] limit_share share(const instance_id& upstream,
                                    const hall_id& hall,
                                    double per_second) const
    {
        if (!settled)
            return {};
        auto result = share_of_limit(
            upstream, hall, per_second / requests_per_holder, own, entries);
        result.per_second *= requests_per_holder * divided_fraction;
        return result;
    }

    /*! @brief Returns a number that changes when shares may have changed. */
    [[nodiscard]] std::uint64_t revision() const { return current_revision; }

private:
    struct remembered_entry
    {
        hall_id hall;
        time_point heard_at{};
    };

    /*! @brief A process that did not run for this long was suspended. */
    static constexpr milliseconds suspension_gap{1000};

    /*! @brief Determines whether this entry has known the others for long
     * enough. After a suspension it waits again; the time in which it could
     * hear nobody does not count against the other entries.
     * @return Whether that changed. */
    bool settle(std::size_t unheard_entries, time_point now)
    {
        if (!updated_at || now - *updated_at > suspension_gap)
        {
            for (auto& [address, known] : remembered)
                known.heard_at += now - *updated_at;
            began_at = now;
        }
        updated_at = now;
        const auto needed =
            unheard_entries > 0 ? unheard_settling_time : settling_time;
        const bool before = settled;
        settled = now - began_at >= settling_time &&
                  (settled || now - began_at >= needed);
        return settled != before;
    }

    std::map<std::string, remembered_entry> remembered; /*!< By address. */
    std::vector<entry_demand> entries;
    std::string own;
    std::optional<time_point> updated_at;
    time_point began_at{};
    bool settled{false};
    std::uint64_t current_revision{1};
};

} // namespace coursejunction

#endif
