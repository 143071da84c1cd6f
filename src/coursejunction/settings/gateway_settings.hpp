/*! @file
 * @brief Settings of an entry or sidecar that reaches the platform of an
 * installation through an adapter.
 */
#ifndef COURSEJUNCTION_SETTINGS_GATEWAY_SETTINGS_HPP
#define COURSEJUNCTION_SETTINGS_GATEWAY_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/settings/node_settings.hpp"

namespace coursejunction
{

/*! @brief All settings of an entry or sidecar of an installation. */
struct gateway_settings
{
    role kind{role::entry};
    instance_id instance;
    hall_id hall;
    region_id region;
    std::map<hall_id, region_id> hall_regions; /*!< Of all halls. */
    std::string address;                       /*!< Own IPv4 address. */
    std::uint16_t peer_port{0}; /*!< TCP and UDP; the same on all instances. */
    std::vector<std::string> seeds; /*!< IPv4 addresses of entries to join. */
    std::string log_level;

    std::string listen_address;    /*!< Entry: `IP:port` for callers. */
    std::string readiness_address; /*!< Entry: `IP:port` of health checks. */
    std::string store_address;     /*!< `IP:port` of the platform's store. */
    std::string upstream_address;  /*!< Sidecar: `IP:port` of its upstream. */
    byte_rate link_rate{0};        /*!< Sidecar: its link, bytes a second. */
    std::size_t memory{0};         /*!< Of the instance, in bytes. */
    std::size_t descriptors{0};    /*!< File descriptors that the process may
                                      open; 0: as many as its limit says. */
    std::uint16_t status_port{0};  /*!< Metrics and state dump; 0 for none. */

    /*! @brief Time from the publication of a version until no request may begin
     * on older weights. */
    milliseconds version_deadline{0};
    milliseconds stop_grace{0}; /*!< Longest duration of a shutdown. */

    /*! @brief Sidecar: how long running requests may finish before a load
     * command interrupts the rest, which are resumed on other upstreams. */
    milliseconds drain_timeout{0};
    /*! @brief Sidecar: highest fraction of a hall's upstreams that close to
     * requests at the same time. */
    double max_closed_fraction{0};

    /*! @brief Reads and checks a settings file.
     * @return The settings, or `invalid` with one line that names the file and,
     * for a wrong value, section and key. */
    [[nodiscard]] static result<gateway_settings> load(const std::string& path);

    /*! @brief Parses and checks a settings text. Errors call it by the given
     * file name. */
    [[nodiscard]] static result<gateway_settings>
    parse(const std::string& file_name, const std::string& text);
};

} // namespace coursejunction

#endif
