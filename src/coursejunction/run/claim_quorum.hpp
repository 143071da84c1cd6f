/*! @file
 * @brief Quorum of the entries that remember a claim; pure.
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

/*! @brief Verdict of the voters on a claim. */
enum class claim_verdict : std::uint8_t
{
    free,     /*!< A quorum answered; no voter knows another claim. */
    taken,    /*!< A voter knows another claim. */
    no_quorum /*!< Too few voters answered. */
};

/*! @brief Collects the answers of the voters on one claim. One "taken" decides;
 * "free" needs that no answer is pending and that at least half of the voters
 * have answered. Of three voters two answer each of two claimants, so that one
 * voter knows both claims. */
class claim_quorum
{
public:
    explicit claim_quorum(std::set<instance_id> voters)
        : pending(std::move(voters)), quorum((pending.size() + 1) / 2)
    {
    }

    /*! @brief Adds an answer; ignored from those that were not asked or have
     * answered before.
     * @param taken Whether the voter knows another claim. */
    void add_answer(const instance_id& voter, bool taken)
    {
        if (pending.erase(voter) == 0)
            return;
        ++answered;
        claimed_by_other = claimed_by_other || taken;
    }

    /*! @brief Notes that a voter will not answer. */
    void drop_voter(const instance_id& voter) { pending.erase(voter); }

    /*! @brief Stops waiting; the answers so far decide. */
    void stop_waiting() { pending.clear(); }

    /*! @brief Returns the verdict, or nothing while it is open. */
    [[nodiscard]] std::optional<claim_verdict> verdict() const
    {
        if (claimed_by_other)
            return claim_verdict::taken;
        if (!pending.empty())
            return std::nullopt;
        return answered > 0 && answered >= quorum ? claim_verdict::free
                                                  : claim_verdict::no_quorum;
    }

private:
    std::set<instance_id> pending;
    std::size_t quorum;
    std::size_t answered{0};
    bool claimed_by_other{false};
};

} // namespace coursejunction

#endif
