/*! @file
 * @brief Settings of a daemon, by role.
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

/*! @brief What a daemon does. */
enum class role : std::uint8_t
{
    entry, /*!< Takes callers' and operators' requests. */
    side   /*!< Stands beside one upstream. */
};

/*! @brief How first receipts of chunks are organised; `swarm` is the
 * product's, the others are baselines for the bench. */
enum class transfer_policy : std::uint8_t
{
    swarm,
    stripes,
    chain,
    origin_only
};

/*! @brief How an entry chooses an upstream; `scored` is the product's, the
 * others are baselines for the bench. */
enum class routing_policy : std::uint8_t
{
    scored,
    least_loaded,
    round_robin
};

/*! @brief All settings of a daemon. Rates are bytes a second. */
struct node_settings
{
    role kind{role::entry};
    instance_id instance;
    hall_id hall;
    region_id region;
    std::string address;
    std::uint16_t peer_port{0};
    std::uint16_t http_port{0};
    std::string log_level;

    std::string instance_list_url;
    milliseconds instance_list_interval{0};
    std::string key_value_url;
    milliseconds key_value_timeout{0};

    std::map<std::uint8_t, std::string> keys;
    std::uint8_t active_key{0};
    std::string operator_token;

    milliseconds heartbeat_interval{0};
    milliseconds report_interval{0};
    std::size_t gossip_neighbours{0};

    std::string upstream_url;
    std::string upstream_kind;
    bool upstream_checks_fencing{true};
    std::size_t upstream_slots{0};
    std::vector<std::string> labels;

    std::string origin_url;
    std::string weight_store_url;
    byte_rate upload_rate{0};
    byte_rate download_rate{0};
    std::size_t transfer_neighbours{0};
    transfer_policy policy{transfer_policy::swarm};
    double origin_extra_fraction{0};
    double max_staged_bytes{0};

    std::size_t max_request_bytes{0};
    std::size_t max_streams{0};
    std::size_t queue_limit{0};
    milliseconds default_deadline{0};
    std::size_t max_upstreams{0};
    routing_policy routing{routing_policy::scored};

    /*! @brief Reads and checks a settings file.
     * @return The settings, or `invalid` with one line that names file,
     * section and key. */
    [[nodiscard]] static result<node_settings> load(const std::string& path);

    /*! @brief Reads and checks a settings text. */
    [[nodiscard]] static result<node_settings> parse(const std::string& name,
                                                     const std::string& text);
};

} // namespace coursejunction

#endif
