/*! @file
 * @brief Settings of a daemon that serves an installation behind an adapter.
 */
#ifndef COURSEJUNCTION_SETTINGS_GATEWAY_SETTINGS_HPP
#define COURSEJUNCTION_SETTINGS_GATEWAY_SETTINGS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/settings/node_settings.hpp"

namespace coursejunction
{

/*! @brief All settings of an entry or side of an installation. */
struct gateway_settings
{
    role kind{role::entry};
    instance_id instance;
    hall_id hall;
    region_id region;
    std::string address;            /*!< IPv4. */
    std::uint16_t peer_port{0};     /*!< TCP and UDP, alike on all instances. */
    std::vector<std::string> seeds; /*!< IPv4 addresses of entries. */
    std::string log_level;

    std::string listen_address;    /*!< Of an entry, `IP:port`. */
    std::string readiness_address; /*!< Of an entry, `IP:port`. */
    std::string store_address;     /*!< `IP:port`. */
    std::string upstream_address;  /*!< Of a side, `IP:port`. */
    byte_rate link_rate{0};        /*!< Of a side's instance, bytes a second. */
    std::uint16_t status_port{0};  /*!< Metrics and state dump; 0 for none. */

    milliseconds version_deadline{
        0}; /*!< A named version is used within this. */
    milliseconds stop_grace{0};

    /*! @brief Of a side: how long running requests may finish before an order
     * cuts the rest, which are resumed elsewhere. */
    milliseconds drain_timeout{0};
    /*! @brief Of a side: part of a hall's upstreams that close at once. */
    double max_closed_fraction{0};

    /*! @brief Reads and checks a settings file.
     * @return The settings, or `invalid` with one line that names file,
     * section and key. */
    [[nodiscard]] static result<gateway_settings> load(const std::string& path);

    /*! @brief Reads and checks a settings text. */
    [[nodiscard]] static result<gateway_settings>
    parse(const std::string& name, const std::string& text);
};

} // namespace coursejunction

#endif
