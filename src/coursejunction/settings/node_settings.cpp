#include "coursejunction/settings/node_settings.hpp"

#include <optional>
#include <sstream>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/settings/ini_file.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::int64_t max_port = 65535;
constexpr std::size_t min_key_bytes = 16;
constexpr double mebibyte = 1024.0 * 1024;

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ','))
    {
        const auto first = item.find_first_not_of(' ');
        if (first == std::string::npos)
            continue;
        const auto last = item.find_last_not_of(' ');
        items.push_back(item.substr(first, last - first + 1));
    }
    return items;
}

void read_instance(ini_file& file, node_settings& settings)
{
    const auto kind = file.text("instance", "role", std::nullopt);
    if (kind == "side")
        settings.kind = role::side;
    else if (kind != "entry" && !kind.empty())
        file.record_error("instance", "role", "must be entry or side");
    settings.instance = instance_id(file.text("instance", "id", std::nullopt));
    settings.hall = hall_id(file.text("instance", "hall", std::nullopt));
    settings.region = region_id(file.text("instance", "region", std::nullopt));
    settings.address = file.text("instance", "address", std::nullopt);
    settings.peer_port = static_cast<std::uint16_t>(
        file.number("instance", "peer_port", std::nullopt, 0, max_port));
    settings.http_port = static_cast<std::uint16_t>(
        file.number("instance", "http_port", std::nullopt, 0, max_port));
    settings.log_level = file.text("log", "level", "info");
}

void read_keys(ini_file& file, node_settings& settings)
{
    const auto text = file.text("security", "keys", std::nullopt);
    for (const auto& item : split_list(text))
    {
        const auto colon = item.find(':');
        const auto key =
            colon == std::string::npos
                ? result<std::string>(failure(error_kind::invalid, "no colon"))
                : from_hex(item.substr(colon + 1));
        if (!key || key.value().size() < min_key_bytes || colon != 1 ||
            item[0] < '0' || item[0] > '9')
        {
            file.record_error(
                "security", "keys",
                "each key must be digit:hex with at least 16 bytes");
            return;
        }
        settings.keys[static_cast<std::uint8_t>(item[0] - '0')] = key.value();
    }
    settings.active_key = static_cast<std::uint8_t>(
        file.number("security", "active_key", std::nullopt, 0, 9));
    if (!settings.keys.contains(settings.active_key))
        file.record_error("security", "active_key",
                          "must be the number of a key in [security] keys");
    if (settings.kind == role::entry)
        settings.operator_token =
            file.text("security", "operator_token", std::nullopt);
}

void read_platform(ini_file& file, node_settings& settings)
{
    settings.instance_list_url =
        file.text("platform", "instance_list", std::nullopt);
    settings.instance_list_interval =
        file.duration("platform", "instance_list_interval", milliseconds(1000));
    settings.key_value_url = file.text("platform", "key_value", std::nullopt);
    settings.key_value_timeout =
        file.duration("platform", "key_value_timeout", milliseconds(1000));
}

void read_membership(ini_file& file, node_settings& settings)
{
    settings.heartbeat_interval =
        file.duration("membership", "heartbeat_interval", milliseconds(1000));
    settings.report_interval =
        file.duration("membership", "report_interval", milliseconds(1000));
    settings.gossip_neighbours = static_cast<std::size_t>(
        file.number("membership", "gossip_neighbours", 8, 2, 64));
}

void read_upstream(ini_file& file, node_settings& settings)
{
    settings.upstream_url = file.text("upstream", "url", std::nullopt);
    settings.upstream_kind = file.text("upstream", "kind", "model");
    if (settings.upstream_kind != "model" && settings.upstream_kind != "plain")
        file.record_error("upstream", "kind", "must be model or plain");
    settings.upstream_checks_fencing =
        file.flag("upstream", "checks_orders", true);
    settings.upstream_slots = static_cast<std::size_t>(
        file.number("upstream", "slots", 16, 1, 100'000));
    settings.labels = split_list(file.text("upstream", "labels", ""));
}

void read_transfer(ini_file& file, node_settings& settings)
{
    settings.origin_url = file.text("transfer", "origin", "");
    settings.weight_store_url = file.text("transfer", "weight_store", "");
    settings.upload_rate = file.bytes("transfer", "upload_rate", 0.0, true);
    settings.download_rate = file.bytes("transfer", "download_rate", 0.0, true);
    settings.transfer_neighbours = static_cast<std::size_t>(
        file.number("transfer", "neighbours", 24, 1, 256));
    settings.max_staged_bytes =
        file.bytes("transfer", "staged_limit", 2048 * mebibyte, false);
    settings.origin_extra_fraction =
        static_cast<double>(
            file.number("transfer", "origin_extra_percent", 0, 0, 400)) /
        100;
    const auto policy = file.text("transfer", "policy", "swarm");
    if (policy == "stripes")
        settings.policy = transfer_policy::stripes;
    else if (policy == "chain")
        settings.policy = transfer_policy::chain;
    else if (policy == "origin_only")
        settings.policy = transfer_policy::origin_only;
    else if (policy != "swarm")
        file.record_error("transfer", "policy",
                          "must be swarm, stripes, chain or origin_only");
}

void read_requests(ini_file& file, node_settings& settings)
{
    settings.max_request_bytes = static_cast<std::size_t>(
        file.bytes("requests", "max_body", mebibyte, false));
    settings.max_streams = static_cast<std::size_t>(
        file.number("requests", "max_streams", 4096, 1, 1'000'000));
    settings.queue_limit = static_cast<std::size_t>(
        file.number("requests", "queue_limit", 256, 0, 1'000'000));
    settings.default_deadline =
        file.duration("requests", "default_deadline", milliseconds(60'000));
    settings.max_upstreams = static_cast<std::size_t>(
        file.number("requests", "max_upstreams", 64, 1, 10'000));
    const auto routing = file.text("requests", "routing", "scored");
    if (routing == "least_loaded")
        settings.routing = routing_policy::least_loaded;
    else if (routing == "round_robin")
        settings.routing = routing_policy::round_robin;
    else if (routing != "scored")
        file.record_error("requests", "routing",
                          "must be scored, least_loaded or round_robin");
}

result<node_settings> read_settings(ini_file& file)
{
    node_settings settings;
    read_instance(file, settings);
    read_keys(file, settings);
    read_platform(file, settings);
    read_membership(file, settings);
    if (settings.kind == role::side)
    {
        read_upstream(file, settings);
        read_transfer(file, settings);
    }
    else
    {
        read_requests(file, settings);
    }
    auto checked = file.validate();
    if (!checked)
        return failure(checked.error().kind, checked.error().message);
    return settings;
}

result<node_settings> read_parsed(result<ini_file> file)
{
    if (!file)
        return failure(file.error().kind, file.error().message);
    return read_settings(file.value());
}

} // namespace internal

result<node_settings> node_settings::load(const std::string& path)
{
    return internal::read_parsed(ini_file::load(path));
}

result<node_settings> node_settings::parse(const std::string& file_name,
                                           const std::string& text)
{
    return internal::read_parsed(ini_file::parse(file_name, text));
}

} // namespace coursejunction
