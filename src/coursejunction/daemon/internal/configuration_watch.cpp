#include "coursejunction/daemon/internal/configuration_watch.hpp"

#include <utility>

#include "coursejunction/core/log.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Time that the service may hold a watch before it answers. */
constexpr milliseconds watch_wait{10'000};

/*! @brief Time to the next call after one that failed. */
constexpr milliseconds watch_retry{500};

} // namespace

configuration_watch::configuration_watch(event_loop& owner,
                                         key_value_client& service,
                                         metrics& counts,
                                         const configuration_view& known,
                                         found_callback call)
    : loop(owner), key_values(service), counters(counts), view(known),
      found(std::move(call))
{
}

void configuration_watch::read_first()
{
    key_values.read(configuration_key,
                    [this](const result<stored_value>& got)
                    {
                        if (got)
                            take(got.value());
                        else if (!view.has_configuration())
                            retry_read = loop.after(watch_retry,
                                                    [this] { read_first(); });
                    });
}

void configuration_watch::designate(bool chosen)
{
    chosen_now = chosen;
    if (chosen_now && !watching)
        watch();
}

void configuration_watch::watch()
{
    watching = chosen_now;
    if (!chosen_now)
        return;
    key_values.watch(configuration_key, index, watch_wait,
                     [this](const result<stored_value>& got) { watched(got); });
}

void configuration_watch::watched(const result<stored_value>& got)
{
    counters.count("key_value_watches_total");
    if (!got)
    {
        // The service may come back from an older copy, which gives out the
        // same indices again.
        index = 0;
        retry_watch = loop.after(watch_retry, [this] { watch(); });
        return;
    }
    index = got.value().watch_index;
    take(got.value());
    watch();
}

void configuration_watch::take(const stored_value& stored)
{
    auto parsed = stored.index == 0 ? result<configuration>(configuration())
                                    : configuration::parse(stored.text);
    if (parsed)
        return found(std::move(parsed.value()));
    log::warning("configuration_unreadable",
                 {{"reason", parsed.error().message}});
}

} // namespace coursejunction::internal
