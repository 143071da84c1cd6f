/*! @file
 * @brief Limits the bandwidth of transfers in favour of live requests.
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

/*! @brief Sets the fraction of the link that transfers may use. It is
 * multiplied by `decrease` while first tokens are clearly slower than without
 * a transfer, and otherwise raised by `increase` (additive increase,
 * multiplicative decrease). */
class transfer_governor
{
public:
    /*! @brief First tokens are slow if their median exceeds the baseline by
     * this factor and by `min_slowdown_s` seconds. */
    static constexpr double slow_ratio = 1.5;
    static constexpr double min_slowdown_s = 0.02;
    static constexpr double decrease = 0.8;
    static constexpr double increase = 0.05;
    static constexpr double min_fraction = 0.5;
    /*! @brief First tokens whose median decides on one step. */
    static constexpr std::size_t samples_per_step = 16;

    /*! @brief Records the time to a first token.
     * @param transferring Whether a transfer was running. Without one, the
     * time updates the baseline that later times are compared with. */
    void record_first_token(std::chrono::microseconds took, bool transferring)
    {
        const auto seconds = to_seconds(took);
        if (!transferring)
        {
            baseline = baseline == 0
                           ? seconds
                           : baseline + (seconds - baseline) * smoothing;
            return;
        }
        recent.push_back(seconds);
        if (recent.size() >= samples_per_step)
            adjust();
    }

    /*! @brief Returns the fraction of the link, in [min_fraction, 1]. */
    [[nodiscard]] double link_fraction() const noexcept { return fraction; }

private:
    static constexpr double smoothing = 0.1;

    void adjust()
    {
        auto sorted = recent;
        recent.clear();
        const auto middle =
            sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        const bool slow = baseline > 0 && *middle > baseline * slow_ratio &&
                          *middle > baseline + min_slowdown_s;
        fraction = slow ? fraction * decrease : fraction + increase;
        fraction = std::clamp(fraction, min_fraction, 1.0);
    }

    double baseline{0};
    double fraction{1.0};
    std::vector<double> recent;
};

} // namespace coursejunction

#endif
