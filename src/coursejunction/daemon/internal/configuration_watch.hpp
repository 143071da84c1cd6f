/*! @file
 * @brief Reads the configuration from the key-value service.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_CONFIGURATION_WATCH_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_CONFIGURATION_WATCH_HPP

#include <cstdint>
#include <functional>

#include "coursejunction/control/configuration_view.hpp"
#include "coursejunction/control/key_value_client.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction::internal
{

/*! @brief Reads the configuration once at startup, and watches it while this
 * instance is one of the designated watchers of its hall. */
class configuration_watch
{
public:
    /*! @brief Called with each configuration that was read. */
    using found_callback = std::function<void(configuration)>;

    /*! @param known Says whether the initial configuration is still missing. */
    configuration_watch(event_loop& owner, key_value_client& service,
                        metrics& counts, const configuration_view& known,
                        found_callback call);

    /*! @brief Reads the configuration; retries until one is known. */
    void read_initial();

    /*! @brief Sets whether this instance watches. */
    void set_designated(bool watch_here);

    /*! @brief Returns whether this instance is to watch. */
    [[nodiscard]] bool designated() const noexcept { return is_designated; }

private:
    void watch();
    void watch_returned(const result<stored_value>& read);
    void accept(const stored_value& stored);

    event_loop& loop;
    key_value_client& key_values;
    metrics& counters;
    const configuration_view& view;
    found_callback found;
    std::uint64_t last_index{0};
    bool is_designated{false};
    bool watching{false};
    milliseconds read_delay;
    timer retry_read;
    timer retry_watch;
};

} // namespace coursejunction::internal

#endif
