/*! @file
 * @brief Tells the end of an upstream from the loss of a connection; pure.
 *
 * A connection that the other end closes before the answer is whole says
 * little: it may have been reset, or the answer spoilt. Only when the upstream
 * itself is seen to be gone, or to be another life, did it end under the
 * request. Silence, a standstill, a cut link and a planned leaving accuse
 * nobody.
 */
#ifndef COURSEJUNCTION_RUN_CRASH_WITNESS_HPP
#define COURSEJUNCTION_RUN_CRASH_WITNESS_HPP

#include <algorithm>
#include <utility>
#include <vector>

#include "coursejunction/core/request_content.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/run/crash_ledger.hpp"

namespace coursejunction
{

/*! @brief A request under which an upstream ended. */
struct crash_accusation
{
    request_content content;
    crash_id end;
};

/*! @brief Attempts whose connections were lost, until it is known why. */
class crash_witness
{
public:
    /*! @brief How long an upstream's end may show after the connection's. Its
     * record lapses after three missed liveness reports of a second. */
    static constexpr milliseconds patience{4000};

    /*! @brief An attempt's connection was closed by the other end.
     * @return Whether the upstream's end is not being looked into yet. */
    bool lost(const instance_id& upstream, const crash_id& end,
              const request_content& what, time_point now)
    {
        forget_old(now);
        const bool first = std::none_of(pending.begin(), pending.end(),
                                        [&](const auto& one)
                                        { return one.accused.end == end; });
        pending.push_back({upstream, {what, end}, now});
        return first;
    }

    /*! @brief An upstream was seen to have ended.
     * @return The requests whose attempts it took along. */
    [[nodiscard]] std::vector<crash_accusation>
    ended(const instance_id& upstream, time_point now)
    {
        forget_old(now);
        std::vector<crash_accusation> accused;
        std::erase_if(pending,
                      [&](const auto& one)
                      {
                          if (one.upstream != upstream)
                              return false;
                          accused.push_back(one.accused);
                          return true;
                      });
        return accused;
    }

private:
    struct lost_attempt
    {
        instance_id upstream;
        crash_accusation accused;
        time_point at{};
    };

    void forget_old(time_point now)
    {
        std::erase_if(pending, [&](const auto& one)
                      { return now - one.at >= patience; });
    }

    std::vector<lost_attempt> pending;
};

} // namespace coursejunction

#endif
