/*! @file
 * @brief The upstreams that an entry routes to.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_LIVE_UPSTREAMS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_LIVE_UPSTREAMS_HPP

#include <optional>
#include <string>
#include <variant>

#include <nlohmann/json_fwd.hpp>

#include "coursejunction/core/types.hpp"
#include "coursejunction/route/upstream_table.hpp"
#include "coursejunction/settings/node_settings.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction::internal
{

/*! @brief Tracks the sidecars' reports, the requests that this entry has
 * running at each upstream, and the results of attempts; chooses an upstream by
 * the routing policy of the settings. */
class live_upstreams
{
public:
    explicit live_upstreams(const node_settings& set);

    /*! @brief Applies a sidecar's report. */
    void apply_report(const message::report& report, time_point now);

    /*! @brief Closes an upstream whose sidecar's connection is lost; its next
     * report may open it again. */
    void peer_lost(const instance_id& peer);

    /*! @brief Counts a request sent to an upstream. */
    void begin_request(const instance_id& to) { ++table[to].own_requests; }

    /*! @brief Counts the end of a request at an upstream. */
    void end_request(const instance_id& from);

    /*! @brief Records an attempt that was answered. */
    void record_success(const instance_id& at, std::chrono::microseconds took)
    {
        table.record_success(at, took);
    }

    /*! @brief Records an attempt that failed. An upstream that refused as busy
     * is marked full; another refusal counts as its failure only if it is the
     * fault of the upstream. */
    void record_failure(const instance_id& at, refusal why, time_point now);

    /*! @brief Chooses an upstream that has room.
     * @return The upstream, or nothing if all are full or closed. */
    [[nodiscard]] std::optional<instance_id> choose(const route_request& route,
                                                    time_point now);

    /*! @brief Returns whether any upstream, full or not, serves the model. */
    [[nodiscard]] bool is_served(const route_request& route,
                                 time_point now) const
    {
        return table.is_served(route, now);
    }

    /*! @brief Returns whether any sidecar has ever reported the model. */
    [[nodiscard]] bool has_reported_model(const std::string& model) const;

    /*! @brief Returns the version that an upstream serves; null if the upstream
     * is unknown. */
    [[nodiscard]] const std::string* served_version(const instance_id& of);

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] nlohmann::json dump() const;

private:
    using any_policy =
        std::variant<scored_policy, least_loaded_policy, round_robin_policy>;

    [[nodiscard]] static any_policy make_policy(routing_policy which);
    void mark_full(const instance_id& upstream);

    const node_settings& settings;
    upstream_table table;
    any_policy policy;
};

} // namespace coursejunction::internal

#endif
