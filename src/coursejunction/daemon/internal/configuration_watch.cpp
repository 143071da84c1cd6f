#include "coursejunction/daemon/internal/configuration_watch.hpp"

#include <algorithm>
#include <utility>

#include "coursejunction/core/log.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Time after which the service answers a watch even without a change.
 */
constexpr milliseconds watch_wait{10'000};

/*! @brief Delay before the next watch after a failed one, and largest delay
 * between first reads. */
constexpr milliseconds watch_retry_delay{500};

/*! @brief Delay after the first failed first read, doubled with each further
 * one: until it has read a configuration, an entry serves nobody. */
constexpr milliseconds first_read_retry_delay{50};

void log_failed_read(const error& why, milliseconds retry_delay)
{
    log::warning("configuration_read_failed",
                 {{"reason", why.message},
                  {"retry_ms", std::to_string(retry_delay.count())}});
}

} // namespace

configuration_watch::configuration_watch(event_loop& owner,
                                         key_value_client& service,
                                         metrics& counts,
                                         const configuration_view& known,
                                         found_callback call)
    : loop(owner), key_values(service), counters(counts), view(known),
      found(std::move(call)), read_delay(first_read_retry_delay)
{
}

void configuration_watch::read_initial()
{
    key_values.read(configuration_key,
                    [this](const result<stored_value>& read)
                    {
                        if (read)
                            return accept(read.value());
                        if (view.has_configuration())
                            return;
                        log_failed_read(read.error(), read_delay);
                        retry_read =
                            loop.after(read_delay, [this] { read_initial(); });
                        read_delay =
                            std::min(2 * read_delay, watch_retry_delay);
                    });
}

void configuration_watch::set_designated(bool watch_here)
{
    is_designated = watch_here;
    if (is_designated && !watching)
        watch();
}

void configuration_watch::watch()
{
    watching = is_designated;
    if (!is_designated)
        return;
    key_values.watch(configuration_key, last_index, watch_wait,
                     [this](const result<stored_value>& read)
                     { watch_returned(read); });
}

void configuration_watch::watch_returned(const result<stored_value>& read)
{
    counters.count("key_value_watches_total");
    if (!read)
    {
        log_failed_read(read.error(), watch_retry_delay);
        // The service may have been restored from an older snapshot, after
        // which it assigns the same indices again.
        last_index = 0;
        retry_watch = loop.after(watch_retry_delay, [this] { watch(); });
        return;
    }
    last_index = read.value().watch_index;
    accept(read.value());
    watch();
}

void configuration_watch::accept(const stored_value& stored)
{
    auto parsed = stored.index == 0 ? result<configuration>(configuration())
                                    : configuration::parse(stored.text);
    if (parsed)
        return found(std::move(parsed.value()));
    log::warning("configuration_unreadable",
                 {{"reason", parsed.error().message}});
}

} // namespace coursejunction::internal
