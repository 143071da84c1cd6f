#include "coursejunction/settings/gateway_settings.hpp"

#include <optional>
#include <sstream>

#include "coursejunction/settings/ini_file.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::int64_t highest_port = 65535;

std::vector<std::string> comma_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
    {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

/*! @brief Reads the first port of a `first,last` range. */
std::uint16_t first_port(ini_file& file)
{
    const auto range = comma_list(file.text("peers", "ports", std::nullopt));
    if (range.empty())
        return 0;
    const auto port = std::strtol(range.front().c_str(), nullptr, 10);
    if (port < 1 || port > highest_port)
        file.fault("peers", "ports", "must begin with a port");
    return static_cast<std::uint16_t>(port);
}

std::vector<std::string> seed_addresses(ini_file& file)
{
    std::vector<std::string> hosts;
    for (const auto& one : comma_list(file.text("peers", "seeds", "")))
        hosts.push_back(one.substr(0, one.rfind(':')));
    return hosts;
}

std::string endpoint(ini_file& file, const char* section, const char* key)
{
    auto text = file.text(section, key, std::nullopt);
    if (!text.empty() && text.find(':') == std::string::npos)
        file.fault(section, key, "'" + text + "' is not IP:port");
    return text;
}

/*! @brief Reads how a side loads versions; the defaults were the best of those
 * that were played (docs/PLATFORM.md). */
void read_rollout(ini_file& file, gateway_settings& made)
{
    constexpr milliseconds usual_drain{800};
    constexpr std::int64_t usual_percent = 34;
    constexpr std::int64_t whole = 100;
    made.drain_timeout = file.duration("rollout", "drain_time", usual_drain);
    made.max_closed_fraction =
        static_cast<double>(
            file.number("rollout", "closed_percent", usual_percent, 1, whole)) /
        static_cast<double>(whole);
}

result<gateway_settings> read(ini_file& file)
{
    gateway_settings made;
    const auto kind = file.text("instance", "role", std::nullopt);
    if (kind == "side")
        made.kind = role::side;
    else if (kind != "entry" && !kind.empty())
        file.fault("instance", "role", "must be entry or side");
    made.instance = instance_id(file.text("instance", "id", std::nullopt));
    made.hall = hall_id(file.text("instance", "hall", std::nullopt));
    made.region = region_id(file.text("instance", "region", std::nullopt));
    made.address = file.text("instance", "address", std::nullopt);
    made.log_level = file.text("log", "level", "info");
    made.peer_port = first_port(file);
    made.seeds = seed_addresses(file);
    made.store_address = endpoint(file, "store", "address");
    if (made.kind == role::entry)
    {
        made.listen_address = endpoint(file, "callers", "address");
        made.readiness_address = endpoint(file, "callers", "ready_address");
    }
    else
    {
        made.upstream_address = endpoint(file, "upstream", "address");
        made.link_rate = file.bytes("link", "rate", 0.0, true);
        read_rollout(file, made);
    }
    made.status_port = static_cast<std::uint16_t>(
        file.number("status", "port", 0, 0, highest_port));
    made.version_deadline =
        file.duration("bounds", "version_time", milliseconds(8000));
    made.stop_grace = file.duration("bounds", "stop_grace", milliseconds(8000));
    const auto checked = file.finish();
    if (!checked)
        return failure(checked.error().kind, checked.error().message);
    return made;
}

} // namespace internal

result<gateway_settings> gateway_settings::load(const std::string& path)
{
    auto file = ini_file::load(path);
    if (!file)
        return failure(file.error().kind, file.error().message);
    return internal::read(file.value());
}

result<gateway_settings> gateway_settings::parse(const std::string& name,
                                                 const std::string& text)
{
    auto file = ini_file::parse(name, text);
    if (!file)
        return failure(file.error().kind, file.error().message);
    return internal::read(file.value());
}

} // namespace coursejunction
