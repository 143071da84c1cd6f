/*! @file
 * @brief Writes to the key-value service what it has lost of the configuration.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_CONFIGURATION_RESTORER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_CONFIGURATION_RESTORER_HPP

#include <cstddef>
#include <functional>
#include <optional>

#include "coursejunction/control/configuration_view.hpp"
#include "coursejunction/control/configuration_writer.hpp"
#include "coursejunction/control/key_value_client.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction::internal
{

/*! @brief Compares what the service holds with what was acknowledged, and
 * writes what is missing by compare-and-swap. Watchers take turns by rank, so
 * that usually one of them writes and the others see that nothing is missing
 * any more. */
class configuration_restorer
{
public:
    /*! @brief Returns the place of this instance among the watchers, none when
     * it does not watch. */
    using rank_callback = std::function<std::optional<std::size_t>()>;

    /*! @brief Takes a configuration that the service holds now. */
    using found_callback = std::function<void(configuration)>;

    configuration_restorer(event_loop& owner, key_value_client& service,
                           metrics& counts, const configuration_view& known,
                           rank_callback place, found_callback call);

    /*! @brief The service answered with this configuration. */
    void on_stored(const configuration& now);

    /*! @brief Another configuration is in force. */
    void on_changed();

    /*! @brief An acknowledged configuration and the one in force do not
     * descend from each other. */
    void on_diverged(configuration other);

private:
    void compare();
    void restore();
    void restored(const write_result& got);
    [[nodiscard]] const configuration* missing() const;

    event_loop& loop;
    key_value_client& key_values;
    metrics& counters;
    const configuration_view& view;
    rank_callback rank;
    found_callback found;
    std::optional<configuration> held;
    std::optional<configuration> branch;
    std::optional<configuration_store> store;
    bool waiting{false};
    timer turn;
};

} // namespace coursejunction::internal

#endif
