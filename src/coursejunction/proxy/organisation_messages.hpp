/*! @file
 * @brief Converts rates of organisations to and from the messages that entries
 * exchange.
 */
#ifndef COURSEJUNCTION_PROXY_ORGANISATION_MESSAGES_HPP
#define COURSEJUNCTION_PROXY_ORGANISATION_MESSAGES_HPP

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/route/organisation_limits.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Maximum number of rates that one heartbeat carries: 52 bytes with
 * their count. */
inline constexpr std::size_t max_organisation_rates_per_heartbeat = 8;

/*! @brief With more live entries than this, only one in several of the
 * heartbeats that may carry rates does, every 800 ms otherwise. An entry so
 * sends at most 8 KB/s of rates to all others. */
inline constexpr std::size_t max_entries_per_report_period = 120;

/*! @brief Returns whether a heartbeat carries rates.
 * @param number Count of the heartbeats that may carry them so far.
 * @param entries Live entries. */
[[nodiscard]] constexpr bool carries_organisation_rates(std::uint64_t number,
                                                        std::size_t entries)
{
    return number % (entries / max_entries_per_report_period + 1) == 0;
}

/*! @brief Returns messages for the rates of this entry's organisations. */
[[nodiscard]] inline std::vector<message::organisation_rate>
organisation_rates_to_report(organisation_limits& limits, time_point now)
{
    std::vector<message::organisation_rate> messages;
    for (const auto& rate :
         limits.rates_to_report(max_organisation_rates_per_heartbeat, now))
    {
        const auto units = std::round(rate.per_second /
                                      organisation_limits::min_reported_rate);
        messages.push_back(
            {rate.key.value(),
             static_cast<std::uint16_t>(std::min(
                 units, static_cast<double>(
                            std::numeric_limits<std::uint16_t>::max())))});
    }
    return messages;
}

/*! @brief Applies the rates in a heartbeat of another entry, which may carry
 * none.
 * @param from Address of that entry. */
inline void merge_organisation_rates(
    organisation_limits& limits, const std::string& from,
    const std::vector<message::organisation_rate>& received, time_point now)
{
    std::vector<reported_rate> rates;
    for (const auto& one : received)
        rates.push_back(
            {organisation_rate_key(one.key),
             one.per_second * organisation_limits::min_reported_rate});
    const bool complete =
        !rates.empty() && rates.size() < max_organisation_rates_per_heartbeat;
    limits.record_reports(from, rates, complete, now);
}

/*! @brief Exchanges rates of organisations with other entries. */
class organisation_rate_exchange
{
public:
    explicit organisation_rate_exchange(organisation_limits& organisations)
        : limits(organisations)
    {
    }

    /*! @brief Adds rates to a heartbeat that may carry them. */
    void add(message::fleet_heartbeat& heartbeat, const peer_directory& peers)
    {
        const auto now = event_loop::now();
        if (carries_organisation_rates(number++, peers.live_entries(now)))
            heartbeat.organisations.items =
                organisation_rates_to_report(limits, now);
    }

    /*! @brief Applies a heartbeat of another entry. */
    void merge(const message::fleet_heartbeat& heartbeat,
               const std::string& from, time_point now)
    {
        merge_organisation_rates(limits, from, heartbeat.organisations.items,
                                 now);
    }

private:
    organisation_limits& limits;
    std::uint64_t number{0}; /*!< Of heartbeats that may carry rates. */
};

} // namespace coursejunction

#endif
