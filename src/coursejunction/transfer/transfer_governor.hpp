/*! @file
 * @brief Lets transfers yield to live requests.
 */
#ifndef COURSEJUNCTION_TRANSFER_TRANSFER_GOVERNOR_HPP
#define COURSEJUNCTION_TRANSFER_TRANSFER_GOVERNOR_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <vector>

#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Sets the portion of the link that transfers may use: it shrinks by
 * a factor while first tokens are clearly slower than without a transfer, and
 * grows back step by step (additive increase, multiplicative decrease). */
class transfer_governor
{
public:
    static constexpr double slow_ratio = 1.5;
    static constexpr double slow_floor_s = 0.02;
    static constexpr double decrease = 0.8;
    static constexpr double increase = 0.05;
    static constexpr double min_fraction = 0.5;
    static constexpr std::size_t window = 16;

    /*! @brief Takes the time to a first token.
     * @param transferring Whether a transfer was running. */
    void record_first_token(std::chrono::microseconds took, bool transferring)
    {
        const auto seconds = to_seconds(took);
        if (!transferring)
        {
            quiet =
                quiet == 0 ? seconds : quiet + (seconds - quiet) * smoothing;
            return;
        }
        recent.push_back(seconds);
        if (recent.size() >= window)
            judge();
    }

    /*! @brief Returns the portion of the link, in [min_fraction, 1]. */
    [[nodiscard]] double link_fraction() const noexcept { return share; }

private:
    static constexpr double smoothing = 0.1;

    void judge()
    {
        auto sorted = recent;
        recent.clear();
        const auto middle =
            sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        const bool slow = quiet > 0 && *middle > quiet * slow_ratio &&
                          *middle > quiet + slow_floor_s;
        share = slow ? share * decrease : share + increase;
        share = std::clamp(share, min_fraction, 1.0);
    }

    double quiet{0};
    double share{1.0};
    std::vector<double> recent;
};

} // namespace coursejunction

#endif
