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

/*! @brief Keeps what sides report, what this entry has running there, and
 * how attempts ended; chooses by the policy of the settings. */
class live_upstreams
{
public:
    explicit live_upstreams(const node_settings& set);

    /*! @brief Takes a side's report. */
    void apply_report(const message::report& one, time_point now);

    /*! @brief Notes that a side's connection is gone. */
    void peer_lost(const instance_id& peer);

    /*! @brief Counts a request that goes to an upstream. */
    void begin_request(const instance_id& to) { ++table[to].own_requests; }

    /*! @brief Counts a request that has left an upstream. */
    void end_request(const instance_id& from);

    /*! @brief Notes that an attempt was answered. */
    void record_success(const instance_id& at, std::chrono::microseconds took)
    {
        table.record_success(at, took);
    }

    /*! @brief Notes that an attempt gave no answer. */
    void record_failure(const instance_id& at, refusal why, time_point now);

    /*! @brief Chooses an upstream that has room.
     * @return The upstream, or nothing. */
    [[nodiscard]] std::optional<instance_id> choose(const route_request& route,
                                                    time_point now);

    /*! @brief Tells whether anybody serves the model, with room or not. */
    [[nodiscard]] bool is_served(const route_request& route,
                                 time_point now) const
    {
        return table.is_served(route, now);
    }

    /*! @brief Tells whether a side has ever reported the model. */
    [[nodiscard]] bool has_reported_model(const std::string& model) const;

    /*! @brief Returns the weights that an upstream serves; null when it is
     * unknown. */
    [[nodiscard]] const std::string* served_version(const instance_id& of);

    /*! @brief Returns the state as JSON. */
    [[nodiscard]] nlohmann::json dump() const;

private:
    using any_policy =
        std::variant<scored_policy, least_loaded_policy, round_robin_policy>;

    [[nodiscard]] static any_policy make_policy(routing_policy which);
    void note_full(const instance_id& upstream);

    const node_settings& settings;
    upstream_table table;
    any_policy policy;
};

} // namespace coursejunction::internal

#endif
