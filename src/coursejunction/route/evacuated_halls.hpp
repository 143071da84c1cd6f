/*! @file
 * @brief Decides which halls are evacuated, from the mirror of the store and
 * from what entries report to each other ahead of it; pure.
 * Load pattern: an operator empties a hall while links to the store or between
 * regions are saturated, so that the mirror lags by seconds.
 */
#ifndef COURSEJUNCTION_ROUTE_EVACUATED_HALLS_HPP
#define COURSEJUNCTION_ROUTE_EVACUATED_HALLS_HPP

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "coursejunction/core/store_position.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/hall_evacuations.hpp"

namespace coursejunction
{

/*! @brief The newest known change of each hall. A reported change beyond the
 * position of the mirror applies until the mirror reaches it; from then on the
 * mirror decides. A reported change of an era that a rollback of the store
 * ended applies unless the mirror holds a newer one: a rollback is no removal.
 */
class evacuated_halls
{
public:
    /*! @brief How long each change is reported in all heartbeats that carry
     * changes: several to every peer, since a congested link loses most of
     * them. Later only evacuations that last are reported, in full reports. */
    static constexpr milliseconds report_period{2000};

    /*! @brief Applies the state of the mirror.
     * @param position Position of the mirror.
     * @return The halls whose state changed. */
    std::vector<hall_evacuation>
    apply_mirror(const std::map<hall_id, hall_evacuation>& mirrored,
                 store_position position, time_point now)
    {
        mirrored_to = std::max(mirrored_to, position);
        for (const auto& [hall, change] : mirrored)
        {
            auto& known = halls[hall];
            if (known.mirrored == change)
                continue;
            if (change.position > known.newest_position())
                known.report_from(now);
            known.mirrored = change;
        }
        for (auto& [hall, known] : halls)
        {
            // In the era of the mirror a change that it has passed without
            // showing it was undone.
            if (known.reported && known.reported->position <= mirrored_to &&
                known.reported->position.era == mirrored_to.era)
                known.reported.reset();
        }
        return update();
    }

    /*! @brief Applies a change that another entry reported. If a newer opposite
     * change is known here, that one is reported again.
     * @return The hall, if its state changed. */
    std::vector<hall_evacuation> apply_report(const hall_evacuation& change,
                                              time_point now)
    {
        const auto found = halls.find(change.hall);
        if (found != halls.end() &&
            change.position <= found->second.newest_position())
        {
            const auto newest = found->second.in_effect(mirrored_to);
            if (newest && newest->evacuated != change.evacuated)
                found->second.report_from(now);
            return {};
        }
        if (change.position.era == mirrored_to.era &&
            change.position <= mirrored_to)
            return {};
        auto& known = halls[change.hall];
        known.reported = change;
        known.report_from(now);
        return update();
    }

    /*! @brief Returns the evacuated halls with the store position of each
     * evacuation. */
    [[nodiscard]] std::map<hall_id, store_position> evacuations() const
    {
        std::map<hall_id, store_position> evacuated;
        for (const auto& [hall, known] : halls)
        {
            if (known.evacuated)
                evacuated[hall] = known.in_effect(mirrored_to)->position;
        }
        return evacuated;
    }

    /*! @brief Returns changes to report, those reported least often first, and
     * counts them as reported.
     * @param all Also returns evacuations that were learnt earlier and last:
     * an entry that was cut off for longer than `report_period` may not know
     * them. */
    [[nodiscard]] std::vector<hall_evacuation>
    take_reports(std::size_t max_count, bool all, time_point now)
    {
        std::vector<known_hall*> due;
        for (auto& [hall, known] : halls)
        {
            if ((all && known.evacuated) ||
                now - known.learnt_at <= report_period)
                due.push_back(&known);
        }
        std::stable_sort(due.begin(), due.end(),
                         [](const known_hall* left, const known_hall* right)
                         { return left->report_count < right->report_count; });
        due.resize(std::min(due.size(), max_count));
        std::vector<hall_evacuation> reports;
        for (auto* known : due)
        {
            const auto change = known->in_effect(mirrored_to);
            if (!change)
                continue;
            ++known->report_count;
            reports.push_back(*change);
        }
        return reports;
    }

private:
    struct known_hall
    {
        [[nodiscard]] store_position newest_position() const
        {
            return std::max(mirrored ? mirrored->position : store_position{},
                            reported ? reported->position : store_position{});
        }

        /*! @brief Returns the change that applies, if any. */
        [[nodiscard]] std::optional<hall_evacuation>
        in_effect(store_position mirrored_to) const
        {
            const bool report_applies =
                reported &&
                (!mirrored || mirrored->position < reported->position) &&
                (reported->position > mirrored_to ||
                 reported->position.era < mirrored_to.era);
            return report_applies ? reported : mirrored;
        }

        void report_from(time_point now)
        {
            learnt_at = now;
            report_count = 0;
        }

        std::optional<hall_evacuation> mirrored;
        std::optional<hall_evacuation> reported;
        bool evacuated{false}; /*!< As last returned by `update`. */
        time_point learnt_at{};
        std::size_t report_count{0};
    };

    /*! @brief Returns the halls whose state changed since the last call. */
    std::vector<hall_evacuation> update()
    {
        std::vector<hall_evacuation> changes;
        for (auto& [hall, known] : halls)
        {
            const auto change = known.in_effect(mirrored_to);
            const bool evacuated = change && change->evacuated;
            if (evacuated == known.evacuated)
                continue;
            known.evacuated = evacuated;
            // An evacuation that the mirror does not show ended at an unknown
            // position.
            changes.push_back(
                change.value_or(hall_evacuation{hall, mirrored_to, evacuated}));
        }
        return changes;
    }

    std::map<hall_id, known_hall> halls;
    store_position mirrored_to;
};

} // namespace coursejunction

#endif
