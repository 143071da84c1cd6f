/*! @file
 * @brief Pauses between tries that failed; pure.
 */
#ifndef COURSEJUNCTION_CORE_BACKOFF_HPP
#define COURSEJUNCTION_CORE_BACKOFF_HPP

#include <algorithm>
#include <cstdint>
#include <random>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Each pause is twice as long as the one before, up to a limit, and
 * drawn around that, so that those who failed together do not come back
 * together. */
class backoff
{
public:
    /*! @param first Mean of the first pause.
     * @param longest Mean that no pause exceeds.
     * @param seed Another one for everybody who may fail together. */
    backoff(milliseconds first, milliseconds longest, std::uint32_t seed)
        : least(first), most(longest), mean(first), random(seed)
    {
    }

    /*! @brief Returns the pause before the next try: from a half of its mean
     * to one and a half. */
    [[nodiscard]] std::chrono::microseconds next()
    {
        std::uniform_real_distribution<double> around(0.5, 1.5);
        const auto pause = from_seconds(to_seconds(mean) * around(random));
        mean = std::min(mean * 2, most);
        return pause;
    }

    /*! @brief A try went well: the next pause is a first one. */
    void reset() noexcept { mean = least; }

private:
    milliseconds least;
    milliseconds most;
    milliseconds mean;
    std::minstd_rand random;
};

} // namespace coursejunction

#endif
