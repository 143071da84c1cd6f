#include "coursejunction/daemon/internal/configuration_restorer.hpp"

#include <utility>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/log.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Time within which a watch usually reports a change that has already
 * arrived by gossip. */
constexpr milliseconds watch_lag{2000};

/*! @brief Additional delay per rank: time for one watcher to read and write
 * before the next one does. */
constexpr milliseconds delay_per_rank{1000};

/*! @brief Timeout of one restore. */
constexpr milliseconds restore_timeout{5000};

} // namespace

configuration_restorer::configuration_restorer(event_loop& owner,
                                               key_value_client& service,
                                               metrics& counts,
                                               const configuration_view& known,
                                               rank_callback own_rank,
                                               found_callback call)
    : loop(owner), key_values(service), counters(counts), view(known),
      rank(std::move(own_rank)), found(std::move(call))
{
}

void configuration_restorer::on_stored(const configuration& read)
{
    stored = read;
    if (diverged_configuration &&
        stored->descends_from(*diverged_configuration))
        diverged_configuration.reset();
    check();
}

void configuration_restorer::on_changed()
{
    check();
}

void configuration_restorer::on_diverged(configuration other)
{
    if (!rank())
        return;
    diverged_configuration = std::move(other);
    check();
}

/*! @brief Returns an acknowledged configuration that the service lacks, or
 * null. */
const configuration* configuration_restorer::missing() const
{
    if (!stored)
        return nullptr;
    if (!stored->descends_from(view.current()))
        return &view.current();
    return diverged_configuration &&
                   !stored->descends_from(*diverged_configuration)
               ? &*diverged_configuration
               : nullptr;
}

void configuration_restorer::check()
{
    if (restore_store)
        return;
    const auto own_rank = missing() == nullptr ? std::nullopt : rank();
    if (!own_rank)
    {
        scheduled = false;
        return delay_timer.stop();
    }
    if (scheduled)
        return;
    scheduled = true;
    delay_timer = loop.after(watch_lag + delay_per_rank * *own_rank,
                             [this] { restore(); });
}

void configuration_restorer::restore()
{
    scheduled = false;
    const auto* lost = missing();
    if (lost == nullptr || !rank())
        return;
    counters.count("configuration_restores_total");
    restore_store.emplace(loop, key_values,
                          event_loop::now() + restore_timeout);
    configuration_writer<configuration_store>::restore(
        *restore_store, *lost, write_id(random_id()),
        [this](const write_result& written)
        { loop.post([this, written] { restored(written); }); });
}

void configuration_restorer::restored(const write_result& written)
{
    restore_store.reset();
    if (!written.outcome)
    {
        log::warning("configuration_not_restored",
                     {{"reason", written.outcome.error().message}});
        return check();
    }
    log::state(
        "configuration_restored",
        {{"revision",
          std::to_string(written.outcome.value().current_revision().value())}});
    on_stored(written.outcome.value());
    found(written.outcome.value());
}

} // namespace coursejunction::internal
