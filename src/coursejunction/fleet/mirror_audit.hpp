/*! @file
 * @brief Decides whether a process's mirror differs from those of its peers;
 * pure.
 */
#ifndef COURSEJUNCTION_FLEET_MIRROR_AUDIT_HPP
#define COURSEJUNCTION_FLEET_MIRROR_AUDIT_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/wire/mirror_sum.hpp"

namespace coursejunction
{

/*! @brief Returns the checksum of a mirror. Only values of the mirror's own era
 * count, since processes may differ in what they carry over from earlier ones.
 */
[[nodiscard]] inline message::mirror_sum sum_of(const store_mirror& mirror)
{
    message::mirror_sum sum;
    sum.position = mirror.position();
    sum.settled = sum.position != store_position{};
    for (const auto& [key, value] : mirror.all())
    {
        if (value.position() > sum.position)
            sum.settled = false;
        if (value.removed || value.era != sum.position.era)
            continue;
        // Multiplier and shift of splitmix64.
        constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15U;
        auto hash = (stable_hash(key) ^ (value.revision * multiplier));
        hash = (hash ^ (hash >> 31U)) * multiplier;
        sum.sum += hash;
        ++sum.keys;
    }
    return sum;
}

/*! @brief Compares the mirror with one peer at a time. The mirror differs if
 * the same difference is seen twice, some time apart: a listing of the store is
 * no snapshot, so two mirrors may differ for a moment. As sums are additive, a
 * difference stays the same while both mirrors advance.
 *
 * The second comparison is with another peer where there is one, so that a
 * single wrong mirror does not make all that compare with it read the store. */
class mirror_audit
{
public:
    /*! @brief Pause between two comparisons; a random part of up to
     * `max_jitter` is added. Peers of the own hall and of other halls take
     * turns, so that a difference between halls is found by the second
     * comparison, and confirmed, within 10 s. */
    static constexpr milliseconds interval{3000};
    static constexpr milliseconds max_jitter{1000};

    /*! @brief Time until a difference is looked for again. */
    static constexpr milliseconds confirmation_delay{1000};

    /*! @brief Time until a comparison is repeated that found the two mirrors at
     * different positions. */
    static constexpr milliseconds retry_delay{300};

    /*! @brief Repetitions before the next regular comparison. */
    static constexpr std::size_t max_retries = 3;

    /*! @brief Differing comparisons in a row after which the mirror counts as
     * different, although the differences are not the same. */
    static constexpr std::size_t max_differences = 3;

    /*! @brief Pause after a listing for a confirmed difference, doubled while
     * differences remain: another process may be the wrong one, or the mirror
     * may have values of an earlier era that the store lost. */
    static constexpr milliseconds initial_listing_pause{10'000};
    static constexpr milliseconds max_listing_pause{600'000};

    enum class outcome : std::uint8_t
    {
        no_comparison, /*!< The mirrors are at different positions. */
        equal,
        suspected, /*!< They differ, to be confirmed. */
        different  /*!< The store has to be listed. */
    };

    /*! @param seed Seed of the jitter. */
    explicit mirror_audit(std::uint64_t seed) : jitter_state(seed) {}

    /*! @brief Begins; the first comparison is due after one interval. */
    void start(time_point now) { schedule_regular(now); }

    [[nodiscard]] bool due(time_point now) const { return now >= next_at; }

    /*! @brief Returns whether the next comparison is with a peer of the own
     * hall, if there is one. */
    [[nodiscard]] bool compares_near() const noexcept { return near; }

    /*! @brief Returns a number that selects one of several peers. It is another
     * one for each comparison. */
    [[nodiscard]] std::size_t selector() const noexcept { return turn; }

    /*! @brief Records that a request was sent, or that there is no peer. */
    void begin(time_point now)
    {
        ++turn;
        if (!suspicion && retries == 0)
            schedule_regular(now);
        else
            next_at = now + confirmation_delay;
    }

    /*! @brief Evaluates an answer.
     * @param before Own sum when the request was sent.
     * @param after Own sum when the answer arrived. */
    [[nodiscard]] outcome compare(const message::mirror_sum& before,
                                  const message::mirror_sum& after,
                                  const message::mirror_sum& theirs,
                                  time_point now)
    {
        const auto* own = matching(before, after, theirs);
        if (own == nullptr)
            return retry(now);
        retries = 0;
        const auto difference = own->sum - theirs.sum;
        if (difference == 0 && own->keys == theirs.keys)
        {
            suspicion.reset();
            listing_pause = initial_listing_pause;
            schedule_next_group(now);
            return outcome::equal;
        }
        const bool confirmed =
            suspicion && (suspicion->difference == difference ||
                          suspicion->count + 1 >= max_differences);
        if (!confirmed)
        {
            suspicion = {difference, suspicion ? suspicion->count + 1 : 1};
            next_at = now + confirmation_delay;
            return outcome::suspected;
        }
        suspicion.reset();
        schedule_next_group(now);
        if (now < no_listing_before)
            return outcome::suspected;
        listing_expected = true;
        return outcome::different;
    }

    /*! @brief Records that the store was listed. A listing that failed causes
     * no pause: the next confirmed difference asks for another one. */
    void record_listing(time_point now)
    {
        if (!std::exchange(listing_expected, false))
            return;
        no_listing_before = now + listing_pause;
        listing_pause = std::min(listing_pause * 2, max_listing_pause);
    }

    /*! @brief Records that a peer did not answer or does not know the request.
     */
    void record_failure(time_point now)
    {
        retries = 0;
        schedule_next_group(now);
    }

private:
    struct difference_seen
    {
        std::uint64_t difference{0};
        std::size_t count{0};
    };

    /*! @brief Returns the own sum of the same position as the peer's, or null.
     */
    static const message::mirror_sum*
    matching(const message::mirror_sum& before,
             const message::mirror_sum& after,
             const message::mirror_sum& theirs)
    {
        if (!theirs.settled)
            return nullptr;
        if (after.settled && after.position == theirs.position)
            return &after;
        if (before.settled && before.position == theirs.position)
            return &before;
        return nullptr;
    }

    outcome retry(time_point now)
    {
        if (++retries <= max_retries)
        {
            next_at = now + retry_delay;
        }
        else
        {
            retries = 0;
            schedule_next_group(now);
        }
        return outcome::no_comparison;
    }

    /*! @brief Schedules a regular comparison. A suspicion is followed up among
     * the same peers: those of the own hall may share the fault. */
    void schedule_next_group(time_point now)
    {
        if (!suspicion)
            near = !near;
        schedule_regular(now);
    }

    void schedule_regular(time_point now)
    {
        // Constants of a linear congruential generator (Knuth, MMIX).
        jitter_state =
            jitter_state * 6364136223846793005U + 1442695040888963407U;
        const auto part = static_cast<std::int64_t>(
            (jitter_state >> 33U) %
            static_cast<std::uint64_t>(max_jitter.count()));
        next_at = now + interval + milliseconds(part);
    }

    std::uint64_t jitter_state;
    time_point next_at{};
    bool near{true};
    std::size_t turn{0};
    std::size_t retries{0};
    std::optional<difference_seen> suspicion;
    bool listing_expected{false}; /*!< A confirmed difference asked for one. */
    time_point no_listing_before{};
    milliseconds listing_pause{initial_listing_pause};
};

} // namespace coursejunction

#endif
