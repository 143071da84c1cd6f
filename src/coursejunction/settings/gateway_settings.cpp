#include "coursejunction/settings/gateway_settings.hpp"

#include <optional>
#include <sstream>

#include "coursejunction/settings/ini_file.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::int64_t max_port = 65535;

/*! @brief Memory of the smallest instances that entries run on. */
constexpr std::int64_t default_memory_mb = 160;
constexpr std::int64_t max_memory_mb = 1'000'000;
constexpr std::size_t bytes_per_mb = 1'000'000;
constexpr std::int64_t max_descriptors = 10'000'000;

std::vector<std::string> comma_list(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ','))
    {
        if (!item.empty())
            items.push_back(item);
    }
    return items;
}

/*! @brief Returns the first port of a `first,last` range. */
std::uint16_t first_port(ini_file& file)
{
    const auto range = comma_list(file.text("peers", "ports", std::nullopt));
    if (range.empty())
        return 0;
    const auto port = std::strtol(range.front().c_str(), nullptr, 10);
    if (port < 1 || port > max_port)
        file.record_error("peers", "ports",
                          "must begin with a port from 1 to 65535");
    return static_cast<std::uint16_t>(port);
}

/*! @brief Returns the addresses without their ports: all instances use the same
 * peer port. */
std::vector<std::string> seed_addresses(ini_file& file)
{
    std::vector<std::string> hosts;
    for (const auto& seed : comma_list(file.text("peers", "seeds", "")))
        hosts.push_back(seed.substr(0, seed.rfind(':')));
    return hosts;
}

std::string read_endpoint(ini_file& file, const char* section, const char* key)
{
    auto text = file.text(section, key, std::nullopt);
    if (!text.empty() && text.find(':') == std::string::npos)
        file.record_error(section, key, "'" + text + "' is not IP:port");
    return text;
}

/*! @brief Reads how a sidecar loads versions. The defaults gave the best
 * results in simulation (docs/PLATFORM.md). */
void read_rollout(ini_file& file, gateway_settings& settings)
{
    constexpr milliseconds default_drain_timeout{800};
    constexpr std::int64_t default_percent = 34;
    constexpr std::int64_t max_percent = 100;
    settings.drain_timeout =
        file.duration("rollout", "drain_time", default_drain_timeout);
    settings.max_closed_fraction =
        static_cast<double>(file.number("rollout", "closed_percent",
                                        default_percent, 1, max_percent)) /
        static_cast<double>(max_percent);
}

/*! @brief Reads a limit of the instance. The platform leaves the value empty if
 * it does not know it. */
std::int64_t limit_of_instance(ini_file& file, const char* key,
                               std::int64_t fallback, std::int64_t high)
{
    constexpr const char* section = "limits";
    if (file.text(section, key, "").empty())
        return fallback;
    return file.number(section, key, fallback, 1, high);
}

result<gateway_settings> read(ini_file& file)
{
    gateway_settings settings;
    const auto kind = file.text("instance", "role", std::nullopt);
    if (kind == "side")
        settings.kind = role::side;
    else if (kind != "entry" && !kind.empty())
        file.record_error("instance", "role", "must be entry or side");
    settings.instance = instance_id(file.text("instance", "id", std::nullopt));
    settings.hall = hall_id(file.text("instance", "hall", std::nullopt));
    settings.region = region_id(file.text("instance", "region", std::nullopt));
    for (const auto& [hall, region] : file.section("halls"))
        settings.hall_regions.emplace(hall_id(hall), region_id(region));
    settings.address = file.text("instance", "address", std::nullopt);
    settings.log_level = file.text("log", "level", "info");
    settings.peer_port = first_port(file);
    settings.seeds = seed_addresses(file);
    settings.store_address = read_endpoint(file, "store", "address");
    if (settings.kind == role::entry)
    {
        settings.listen_address = read_endpoint(file, "callers", "address");
        settings.readiness_address =
            read_endpoint(file, "callers", "ready_address");
    }
    else
    {
        settings.upstream_address = read_endpoint(file, "upstream", "address");
        settings.link_rate = file.bytes("link", "rate", 0.0, true);
        read_rollout(file, settings);
    }
    settings.status_port = static_cast<std::uint16_t>(
        file.number("status", "port", 0, 0, max_port));
    settings.memory =
        static_cast<std::size_t>(limit_of_instance(
            file, "memory_mb", default_memory_mb, max_memory_mb)) *
        bytes_per_mb;
    settings.descriptors = static_cast<std::size_t>(
        limit_of_instance(file, "descriptors", 0, max_descriptors));
    settings.version_deadline =
        file.duration("bounds", "version_time", milliseconds(8000));
    settings.stop_grace =
        file.duration("bounds", "stop_grace", milliseconds(8000));
    const auto checked = file.validate();
    if (!checked)
        return failure(checked.error().kind, checked.error().message);
    return settings;
}

} // namespace internal

result<gateway_settings> gateway_settings::load(const std::string& path)
{
    auto file = ini_file::load(path);
    if (!file)
        return failure(file.error().kind, file.error().message);
    return internal::read(file.value());
}

result<gateway_settings> gateway_settings::parse(const std::string& file_name,
                                                 const std::string& text)
{
    auto file = ini_file::parse(file_name, text);
    if (!file)
        return failure(file.error().kind, file.error().message);
    return internal::read(file.value());
}

} // namespace coursejunction
