#include "coursejunction/proxy/retry_budgets.hpp"

#include <cstddef>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using namespace std::chrono_literals;

namespace
{

const cj::service_name service("s");

/*! @brief Entries that retry as often as their budgets allow, while they end,
 * start again and miss each other. */
class retrying_entries
{
public:
    retrying_entries(std::size_t count, const cj::exchange_options& chosen)
        : options(chosen), entries(count)
    {
    }

    void step(cj::milliseconds length)
    {
        now += length;
        for (auto& entry : entries)
        {
            if (!entry)
                continue;
            entry->set_entry_count(visible_entries(), now);
            if (drawn(2))
                continue;
            entry->of(service).record_request(now);
            requests.push_back(now);
            while (entry->of(service).try_spend(now))
                retries.push_back(now);
        }
    }

    /*! @brief Ends an entry, or starts it anew. */
    void toggle(std::size_t at)
    {
        auto& entry = entries[at];
        if (entry)
            return entry.reset();
        entry.emplace(options);
        starts.push_back(now);
    }

    void start_all()
    {
        for (std::size_t at = 0; at < entries.size(); ++at)
            toggle(at);
    }

    /*! @brief Returns how many retries were made in the last window beyond the
     * fraction of its requests, and beyond one of each entry that started. */
    [[nodiscard]] double beyond_ratio() const
    {
        const auto within = [&](const std::vector<cj::time_point>& times)
        {
            double count = 0;
            for (const auto at : times)
                count += at > now - options.retry_window ? 1 : 0;
            return count;
        };
        return within(retries) - options.retry_ratio * within(requests) -
               within(starts);
    }

    [[nodiscard]] std::size_t size() const { return entries.size(); }

private:
    static bool drawn(int one_in) { return *rc::gen::inRange(0, one_in) == 0; }

    /*! @brief Returns how many entries one knows of: itself and, while the
     * network is whole, all others. */
    [[nodiscard]] std::size_t visible_entries() const
    {
        std::size_t running = 0;
        for (const auto& entry : entries)
            running += entry ? 1 : 0;
        return drawn(20) ? 1 : running;
    }

    cj::exchange_options options;
    std::vector<std::optional<cj::retry_budgets>> entries;
    std::vector<cj::time_point> requests;
    std::vector<cj::time_point> retries;
    std::vector<cj::time_point> starts;
    cj::time_point now{100s};
};

} // namespace

SCENARIO("entries that start again retry beyond the budget of all", "[proxy]")
{
    rc::prop("all entries together keep to the ratio and the reserve",
             []
             {
                 cj::exchange_options options;
                 options.retry_ratio = 0.17;
                 options.retry_reserve = 80;
                 retrying_entries entries(*rc::gen::inRange<std::size_t>(2, 15),
                                          options);
                 entries.start_all();
                 for (int count = 0; count < 60; ++count)
                 {
                     entries.step(500ms);
                     if (*rc::gen::inRange(0, 3) == 0)
                         entries.toggle(
                             *rc::gen::inRange<std::size_t>(0, entries.size()));
                     RC_ASSERT(entries.beyond_ratio() <= options.retry_reserve);
                 }
             });
}
