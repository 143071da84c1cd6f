#include "coursejunction/cli/rollout_progress.hpp"

#include <array>
#include <cstdio>

namespace coursejunction
{

void rollout_progress::add_sample(const rollout_sample& sample, time_point now)
{
    if (!has_samples)
    {
        first = sample;
        first_at = now;
        has_samples = true;
    }
    last = sample;
    last_at = now;
}

std::optional<double> rollout_progress::seconds_left() const
{
    const auto elapsed = to_seconds(last_at - first_at);
    if (last.bytes_total == 0 || last.bytes_done <= first.bytes_done ||
        elapsed <= 0)
        return std::nullopt;
    const auto rate =
        static_cast<double>(last.bytes_done - first.bytes_done) / elapsed;
    return static_cast<double>(last.bytes_total - last.bytes_done) / rate;
}

std::string rollout_progress::line() const
{
    constexpr double mebibyte = 1024.0 * 1024;
    const double percentage =
        last.bytes_total == 0 ? 0
                              : 100.0 * static_cast<double>(last.bytes_done) /
                                    static_cast<double>(last.bytes_total);
    std::array<char, 160> text{};
    std::snprintf(text.data(), text.size(),
                  "%zu/%zu serving, %.0f%% of bytes, %.1f MiB from origin",
                  last.serving, last.wanted, percentage,
                  static_cast<double>(last.origin_bytes) / mebibyte);
    std::string line(text.data());
    const auto left = seconds_left();
    if (left && *left > 0)
    {
        std::snprintf(text.data(), text.size(), ", about %.0f s left", *left);
        line += text.data();
    }
    return line;
}

} // namespace coursejunction
