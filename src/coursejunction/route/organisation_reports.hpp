/*! @file
 * @brief Rates of organisations that other entries reported; pure.
 */
#ifndef COURSEJUNCTION_ROUTE_ORGANISATION_REPORTS_HPP
#define COURSEJUNCTION_ROUTE_ORGANISATION_REPORTS_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/core/strong.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Identifies an organisation at a service in reports. */
using organisation_rate_key =
    strong<struct organisation_rate_key_tag, std::uint32_t>;

/*! @brief Returns the key of an organisation at a service.
 * @param id Empty for the refusals within shares of the service. */
[[nodiscard]] inline organisation_rate_key
make_rate_key(const service_name& service, const organisation_id& id)
{
    std::string joined = service.value();
    joined.append(1, '\0').append(id.value());
    return organisation_rate_key(
        static_cast<std::uint32_t>(stable_hash(joined)));
}

/*! @brief A rate that one entry reports. */
struct reported_rate
{
    organisation_rate_key key;
    double per_second{0};
};

/*! @brief Sums of reported rates by key. */
struct reported_sums
{
    std::map<organisation_rate_key, double> per_second;
    milliseconds oldest{0}; /*!< Age of the oldest report that counts. */
};

/*! @brief The latest reports of each other entry. */
class organisation_reports
{
public:
    /*! @brief An entry that was silent for this long is left out. */
    static constexpr milliseconds max_silence{1000};
    /*! @brief Age above which a rate no longer counts; a report holds only some
     * of the organisations of an entry, in turn. */
    static constexpr milliseconds max_age{10'000};
    /*! @brief Largest number of rates that are kept per entry. */
    static constexpr std::size_t max_rates_per_entry = 64;

    /*! @brief Records that an entry was heard, with the rates it reported.
     * @param complete The entry has no further rates, so that earlier ones do
     * not count any more. */
    void record(const std::string& from,
                const std::vector<reported_rate>& rates, bool complete,
                time_point now)
    {
        auto& entry = entries[from];
        entry.heard_at = now;
        if (complete)
            entry.rates.clear();
        for (const auto& rate : rates)
        {
            if (entry.rates.size() >= max_rates_per_entry &&
                entry.rates.count(rate.key) == 0)
                continue;
            entry.rates[rate.key] = {rate.per_second, now};
        }
    }

    /*! @brief Returns the sums over all entries that are not silent, and drops
     * the others. */
    [[nodiscard]] reported_sums sums(time_point now)
    {
        reported_sums result;
        std::erase_if(entries, [&](const auto& item)
                      { return now - item.second.heard_at > max_silence; });
        for (auto& [address, entry] : entries)
        {
            std::erase_if(entry.rates, [&](const auto& item)
                          { return now - item.second.at > max_age; });
            for (const auto& [key, rate] : entry.rates)
            {
                result.per_second[key] += rate.per_second;
                result.oldest = std::max(
                    result.oldest,
                    std::chrono::duration_cast<milliseconds>(now - rate.at));
            }
        }
        return result;
    }

private:
    struct kept_rate
    {
        double per_second{0};
        time_point at{};
    };

    struct entry_rates
    {
        time_point heard_at{};
        std::map<organisation_rate_key, kept_rate> rates;
    };

    std::map<std::string, entry_rates> entries;
};

} // namespace coursejunction

#endif
