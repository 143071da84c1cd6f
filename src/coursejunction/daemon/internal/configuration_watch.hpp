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

/*! @brief Reads once at the start, and watches while this instance is one of
 * those that do so for their hall. */
class configuration_watch
{
public:
    /*! @brief Takes a configuration that was read. */
    using found_callback = std::function<void(configuration)>;

    /*! @param known Tells whether a first one is still to be read. */
    configuration_watch(event_loop& owner, key_value_client& service,
                        metrics& counts, const configuration_view& known,
                        found_callback call);

    /*! @brief Reads, again and again until some configuration is known. */
    void read_initial();

    /*! @brief Says whether this instance is to watch. */
    void set_designated(bool chosen);

    /*! @brief Tells whether this instance is to watch. */
    [[nodiscard]] bool designated() const noexcept { return chosen_now; }

private:
    void watch();
    void watched(const result<stored_value>& got);
    void take(const stored_value& stored);

    event_loop& loop;
    key_value_client& key_values;
    metrics& counters;
    const configuration_view& view;
    found_callback found;
    std::uint64_t index{0};
    bool chosen_now{false};
    bool watching{false};
    timer retry_read;
    timer retry_watch;
};

} // namespace coursejunction::internal

#endif
