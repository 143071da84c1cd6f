/*! @file
 * @brief Tells the end of an upstream from the loss of a connection; pure.
 *
 * An attempt that was lost before its answer was whole says little: its
 * connection may have been reset, or its upstream may stand still. Only when
 * the upstream itself is seen to be gone, or to be another life, did it end
 * under the request. A cut link and a planned leaving accuse nobody.
 */
#ifndef COURSEJUNCTION_RUN_CRASH_WITNESS_HPP
#define COURSEJUNCTION_RUN_CRASH_WITNESS_HPP

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/run/crash_evidence.hpp"

namespace coursejunction
{

/*! @brief A request under which an upstream ended. */
struct crash_accusation
{
    request_content content;
    crash_id end;
    end_evidence evidence{end_evidence::beginning};
};

/*! @brief How an attempt was lost. */
enum class attempt_loss : std::uint8_t
{
    closed,   /*!< The other end closed its connection. */
    silent,   /*!< It was taken back, since nothing came. */
    withdrawn /*!< It was taken back for another reason; it may go on for a
                 moment. */
};

/*! @brief How the end of an upstream shows. */
enum class end_proof : std::uint8_t
{
    record_gone, /*!< Nobody keeps its record; one that stands still does not
                    either, and lives. */
    seen         /*!< Its address refuses, or belongs to another life. */
};

/*! @brief An attempt that was lost before its answer was whole. */
struct lost_attempt
{
    instance_id upstream;
    std::string address; /*!< `IP:port` of the upstream. */
    crash_accusation accused;
    attempt_loss how{attempt_loss::closed};
};

/*! @brief Attempts that were lost, until it is known why. */
class crash_witness
{
public:
    /*! @brief How long an upstream's end may show after its attempt was lost.
     * Its record lapses after three missed liveness reports of a second. */
    static constexpr milliseconds patience{4000};

    /*! @brief An attempt that was taken back may go on for so long: the word of
     * it has to travel, and upstreams stop within half a second. */
    static constexpr milliseconds aftermath{500};

    /*! @brief Notes a lost attempt.
     * @return Whether its upstream's end is not being looked into yet. */
    bool lost(lost_attempt one, time_point now)
    {
        forget_old(now);
        const bool first =
            std::none_of(pending.begin(), pending.end(),
                         [&](const auto& other)
                         {
                             return other.lost.accused.end == one.accused.end &&
                                    other.lost.how != attempt_loss::withdrawn;
                         });
        const auto until =
            now + (one.how == attempt_loss::withdrawn ? aftermath : patience);
        pending.push_back({std::move(one), until});
        return first && pending.back().lost.how != attempt_loss::withdrawn;
    }

    /*! @brief An upstream was seen to have ended.
     * @return The requests whose attempts it took along. */
    [[nodiscard]] std::vector<crash_accusation>
    ended(const instance_id& upstream, end_proof proof, time_point now)
    {
        forget_old(now);
        std::vector<crash_accusation> accused;
        std::erase_if(pending,
                      [&](const auto& one)
                      {
                          if (one.lost.upstream != upstream ||
                              !proves(proof, one.lost.how))
                              return false;
                          accused.push_back(one.lost.accused);
                          return true;
                      });
        return accused;
    }

    /*! @brief Returns the address of an upstream with attempts whose loss is
     * not explained yet. */
    [[nodiscard]] std::optional<std::string>
    address_of(const instance_id& upstream) const
    {
        for (const auto& one : pending)
        {
            if (one.lost.upstream == upstream)
                return one.lost.address;
        }
        return std::nullopt;
    }

    /*! @brief Returns another upstream that lost attempts at an address. */
    [[nodiscard]] std::optional<instance_id>
    before(const instance_id& upstream, const std::string& address) const
    {
        for (const auto& one : pending)
        {
            if (one.lost.address == address && one.lost.upstream != upstream)
                return one.lost.upstream;
        }
        return std::nullopt;
    }

    /*! @brief Tells whether an attempt of a request was lost just now and it is
     * not known why. */
    [[nodiscard]] bool waits(const request_content& what, time_point now) const
    {
        return std::any_of(pending.begin(), pending.end(),
                           [&](const auto& one) {
                               return now < one.until &&
                                      one.lost.accused.content == what;
                           });
    }

private:
    struct waiting
    {
        lost_attempt lost;
        time_point until{};
    };

    [[nodiscard]] static bool proves(end_proof proof, attempt_loss how)
    {
        return proof == end_proof::seen || how == attempt_loss::closed;
    }

    void forget_old(time_point now)
    {
        std::erase_if(pending,
                      [&](const auto& one) { return now >= one.until; });
    }

    std::vector<waiting> pending;
};

} // namespace coursejunction

#endif
