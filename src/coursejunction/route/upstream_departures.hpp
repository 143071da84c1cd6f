/*! @file
 * @brief Upstreams that the store no longer offers, as entries tell each other
 * ahead of the mirror; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_UPSTREAM_DEPARTURES_HPP
#define COURSEJUNCTION_ROUTE_UPSTREAM_DEPARTURES_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "coursejunction/core/store_position.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A change of the store after which an upstream accepts no new
 * requests. */
struct upstream_departure
{
    instance_id id;
    store_position position; /*!< Of the change. */
    bool removed{false}; /*!< Its record was removed; otherwise the record says
                            that it leaves. */
};

/*! @brief The newest departure of each upstream. One beyond the position of the
 * mirror holds until the mirror reaches it. From then on the records decide, so
 * that an upstream whose record returns is used again. */
class upstream_departures
{
public:
    /*! @brief How long a departure is reported: several heartbeats to every
     * peer, since a congested link loses most of them. */
    static constexpr milliseconds report_period{2000};

    /*! @brief Adds a departure.
     * @return False if it is not newer than the known one. */
    bool add(const upstream_departure& departure, time_point now)
    {
        const auto [position, added] = departures.try_emplace(departure.id);
        auto& known = position->second;
        if (!added && departure.position <= known.departure.position)
            return false;
        known = {departure, now, 0};
        return true;
    }

    /*! @brief Sets the position of the mirror. */
    void set_mirrored(store_position position) { mirrored = position; }

    /*! @brief Returns the departure of an upstream if the mirror does not have
     * it yet. */
    [[nodiscard]] std::optional<upstream_departure>
    pending(const instance_id& id) const
    {
        const auto found = departures.find(id);
        if (found == departures.end() ||
            found->second.departure.position <= mirrored)
            return std::nullopt;
        return found->second.departure;
    }

    /*! @brief Returns departures learnt within `report_period`, those reported
     * least often first, and counts them as reported. */
    [[nodiscard]] std::vector<upstream_departure>
    take_reports(std::size_t max_count, time_point now)
    {
        std::vector<known_departure*> due;
        for (auto& [id, known] : departures)
        {
            if (now - known.learnt_at <= report_period)
                due.push_back(&known);
        }
        std::stable_sort(
            due.begin(), due.end(),
            [](const known_departure* left, const known_departure* right)
            { return left->report_count < right->report_count; });
        due.resize(std::min(due.size(), max_count));
        std::vector<upstream_departure> reports;
        for (auto* known : due)
        {
            ++known->report_count;
            reports.push_back(known->departure);
        }
        return reports;
    }

    /*! @brief Drops departures that the mirror has and that are no longer
     * reported. */
    void expire(time_point now)
    {
        std::erase_if(departures,
                      [&](const auto& item)
                      {
                          const auto& known = item.second;
                          return known.departure.position <= mirrored &&
                                 now - known.learnt_at > report_period;
                      });
    }

private:
    struct known_departure
    {
        upstream_departure departure;
        time_point learnt_at{};
        std::size_t report_count{0};
    };

    std::map<instance_id, known_departure> departures;
    store_position mirrored;
};

} // namespace coursejunction

#endif
