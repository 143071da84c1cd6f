/*! @file
 * @brief Settings of an entry or sidecar daemon.
 */
#ifndef COURSEJUNCTION_SETTINGS_NODE_SETTINGS_HPP
#define COURSEJUNCTION_SETTINGS_NODE_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief Role of a daemon. */
enum class role : std::uint8_t
{
    entry, /*!< Takes the requests of callers and operators. */
    side   /*!< Sidecar of one upstream. */
};

/*! @brief How instances get chunks that they lack. `swarm` is for production,
 * the others are baselines for benchmarks. */
enum class transfer_policy : std::uint8_t
{
    swarm,
    stripes,
    chain,
    origin_only
};

/*! @brief How an entry chooses an upstream. `scored` is for production, the
 * others are baselines for benchmarks. */
enum class routing_policy : std::uint8_t
{
    scored,
    least_loaded,
    round_robin
};

/*! @brief All settings of a daemon. Rates are in bytes a second. */
struct node_settings
{
    role kind{role::entry};
    instance_id instance;
    hall_id hall;
    region_id region;
    std::string address;        /*!< Address that the ports are bound to. */
    std::uint16_t peer_port{0}; /*!< For connections of other instances. */
    std::uint16_t http_port{0}; /*!< For callers, operators, metrics. */
    std::string log_level;

    std::string instance_list_url;
    milliseconds instance_list_interval{0};
    std::string key_value_url;
    milliseconds key_value_timeout{0};

    std::map<std::uint8_t, std::string> keys; /*!< Of peer frames, by number. */
    std::uint8_t active_key{0}; /*!< Key that seals sent frames. */
    std::string operator_token; /*!< Entry: bearer token of the API. */

    milliseconds heartbeat_interval{0};
    milliseconds report_interval{0};
    std::size_t gossip_neighbours{0}; /*!< Receivers of a heartbeat, at most. */

    std::string upstream_url;
    std::string upstream_kind; /*!< `model`, or `plain` without weights. */
    bool upstream_checks_fencing{true}; /*!< Refuses outdated fencing tokens. */
    std::size_t upstream_slots{0};      /*!< Concurrent requests, at most. */
    std::vector<std::string> labels;    /*!< For the selector of a placement. */

    std::string origin_url;
    std::string weight_store_url; /*!< Alternative to the origin, or empty. */
    byte_rate upload_rate{0};
    byte_rate download_rate{0};
    std::size_t transfer_neighbours{0};
    transfer_policy policy{transfer_policy::swarm};
    /*! @brief Chunks that are fetched from the origin once more to save time,
     * as a fraction of all chunks. */
    double origin_extra_fraction{0};
    double max_staged_bytes{0}; /*!< Largest version that is loaded. */

    std::size_t max_request_bytes{0};
    std::size_t max_streams{0};       /*!< Requests in progress. */
    std::size_t queue_limit{0};       /*!< Of each model's queue. */
    milliseconds default_deadline{0}; /*!< Of a request that names none. */
    std::size_t max_upstreams{0};     /*!< That an entry sends requests to. */
    routing_policy routing{routing_policy::scored};

    /*! @brief Reads and checks a settings file.
     * @return The settings, or `invalid` with one line that names the file and,
     * for a wrong value, section and key. */
    [[nodiscard]] static result<node_settings> load(const std::string& path);

    /*! @brief Parses and checks a settings text. Errors call it by the given
     * file name. */
    [[nodiscard]] static result<node_settings>
    parse(const std::string& file_name, const std::string& text);
};

} // namespace coursejunction

#endif
