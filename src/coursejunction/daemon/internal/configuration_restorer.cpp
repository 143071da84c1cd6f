#include "coursejunction/daemon/internal/configuration_restorer.hpp"

#include <utility>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/log.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Time in which a watch usually tells of a change that gossip has
 * told before. */
constexpr milliseconds watch_lag{2000};

/*! @brief Time in which one watcher reads and writes, before the next. */
constexpr milliseconds turn_length{1000};

/*! @brief Longest time for one restore. */
constexpr milliseconds restore_limit{5000};

} // namespace

configuration_restorer::configuration_restorer(
    event_loop& owner, key_value_client& service, metrics& counts,
    const configuration_view& known, rank_callback place, found_callback call)
    : loop(owner), key_values(service), counters(counts), view(known),
      rank(std::move(place)), found(std::move(call))
{
}

void configuration_restorer::stored(const configuration& now)
{
    held = now;
    if (branch && held->descends_from(*branch))
        branch.reset();
    compare();
}

void configuration_restorer::changed()
{
    compare();
}

void configuration_restorer::diverged(configuration other)
{
    if (!rank())
        return;
    branch = std::move(other);
    compare();
}

/*! @brief Returns an acknowledged configuration that the service lacks. */
const configuration* configuration_restorer::missing() const
{
    if (!held)
        return nullptr;
    if (!held->descends_from(view.current()))
        return &view.current();
    return branch && !held->descends_from(*branch) ? &*branch : nullptr;
}

void configuration_restorer::compare()
{
    if (store)
        return;
    const auto place = missing() == nullptr ? std::nullopt : rank();
    if (!place)
    {
        waiting = false;
        return turn.stop();
    }
    if (waiting)
        return;
    waiting = true;
    turn = loop.after(watch_lag + turn_length * *place, [this] { restore(); });
}

void configuration_restorer::restore()
{
    waiting = false;
    const auto* lost = missing();
    if (lost == nullptr || !rank())
        return;
    counters.count("configuration_restores_total");
    store.emplace(loop, key_values, event_loop::now() + restore_limit);
    configuration_writer<configuration_store>::restore(
        *store, *lost, write_id(random_id()),
        [this](const write_result& got)
        { loop.post([this, got] { restored(got); }); });
}

void configuration_restorer::restored(const write_result& got)
{
    store.reset();
    if (!got.outcome)
    {
        log::warning("configuration_not_restored",
                     {{"reason", got.outcome.error().message}});
        return compare();
    }
    log::state(
        "configuration_restored",
        {{"revision",
          std::to_string(got.outcome.value().current_revision().value())}});
    stored(got.outcome.value());
    found(got.outcome.value());
}

} // namespace coursejunction::internal
