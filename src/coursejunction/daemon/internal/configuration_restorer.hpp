/*! @file
 * @brief Restores configurations that the key-value service has lost.
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

/*! @brief Compares the configuration stored in the service with those that were
 * acknowledged, and writes a missing one back by compare-and-swap. Watchers
 * wait in order of their rank, so that usually one of them writes and the
 * others find that nothing is missing any more. */
class configuration_restorer
{
public:
    /*! @brief Returns the rank of this instance among the watchers, or nothing
     * if it does not watch. */
    using rank_callback = std::function<std::optional<std::size_t>()>;

    /*! @brief Called with the configuration that is stored after a restore. */
    using found_callback = std::function<void(configuration)>;

    configuration_restorer(event_loop& owner, key_value_client& service,
                           metrics& counts, const configuration_view& known,
                           rank_callback own_rank, found_callback call);

    /*! @brief Called with each configuration read from the service. */
    void on_stored(const configuration& read);

    /*! @brief Called when another configuration comes into force. */
    void on_changed();

    /*! @brief Called with an acknowledged configuration that neither descends
     * from the one in force nor is its ancestor. */
    void on_diverged(configuration other);

private:
    void check();
    void restore();
    void restored(const write_result& written);
    [[nodiscard]] const configuration* missing() const;

    event_loop& loop;
    key_value_client& key_values;
    metrics& counters;
    const configuration_view& view;
    rank_callback rank;
    found_callback found;
    std::optional<configuration> stored; /*!< Last one read. */
    std::optional<configuration> diverged_configuration;
    /*! @brief Set while a restore is in progress. */
    std::optional<configuration_store> restore_store;
    bool scheduled{false};
    timer delay_timer;
};

} // namespace coursejunction::internal

#endif
