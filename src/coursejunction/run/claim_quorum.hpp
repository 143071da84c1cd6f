/*! @file
 * @brief What the keepers of a claim said together; pure.
 */
#ifndef COURSEJUNCTION_RUN_CLAIM_QUORUM_HPP
#define COURSEJUNCTION_RUN_CLAIM_QUORUM_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief What is known of a claim. */
enum class claim_verdict : std::uint8_t
{
    free,     /*!< Enough keepers answered; none knows of another claim. */
    taken,    /*!< A keeper knows of another claim. */
    no_quorum /*!< Too few keepers answered. */
};

/*! @brief Counts answers until they settle the word: one "taken" does, "free"
 * only when nobody is left to be heard and at least half have answered. Of
 * three keepers two answer each of two claimants, so that one hears both. */
class claim_quorum
{
public:
    explicit claim_quorum(std::set<instance_id> asked)
        : open(std::move(asked)), needed((open.size() + 1) / 2)
    {
    }

    /*! @brief A keeper answered; one that was not asked does not count. */
    void add_answer(const instance_id& keeper, bool taken)
    {
        if (open.erase(keeper) == 0)
            return;
        ++heard;
        known = known || taken;
    }

    /*! @brief A keeper will not answer. */
    void drop_voter(const instance_id& keeper) { open.erase(keeper); }

    /*! @brief Waits for nobody any more. */
    void stop_waiting() { open.clear(); }

    /*! @brief Returns the word, or nothing while it is not settled. */
    [[nodiscard]] std::optional<claim_verdict> verdict() const
    {
        if (known)
            return claim_verdict::taken;
        if (!open.empty())
            return std::nullopt;
        return heard > 0 && heard >= needed ? claim_verdict::free
                                            : claim_verdict::no_quorum;
    }

private:
    std::set<instance_id> open;
    std::size_t needed;
    std::size_t heard{0};
    bool known{false};
};

} // namespace coursejunction

#endif
