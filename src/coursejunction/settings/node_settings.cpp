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
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
    {
        const auto first = part.find_first_not_of(' ');
        if (first == std::string::npos)
            continue;
        const auto last = part.find_last_not_of(' ');
        parts.push_back(part.substr(first, last - first + 1));
    }
    return parts;
}

void read_instance(ini_file& file, node_settings& into)
{
    const auto kind = file.text("instance", "role", std::nullopt);
    if (kind == "side")
        into.kind = role::side;
    else if (kind != "entry" && !kind.empty())
        file.fault("instance", "role", "must be entry or side");
    into.instance = instance_id(file.text("instance", "id", std::nullopt));
    into.hall = hall_id(file.text("instance", "hall", std::nullopt));
    into.region = region_id(file.text("instance", "region", std::nullopt));
    into.address = file.text("instance", "address", std::nullopt);
    into.peer_port = static_cast<std::uint16_t>(
        file.number("instance", "peer_port", std::nullopt, 0, max_port));
    into.http_port = static_cast<std::uint16_t>(
        file.number("instance", "http_port", std::nullopt, 0, max_port));
    into.log_level = file.text("log", "level", "info");
}

void read_keys(ini_file& file, node_settings& into)
{
    const auto text = file.text("security", "keys", std::nullopt);
    for (const auto& part : split_list(text))
    {
        const auto colon = part.find(':');
        const auto key =
            colon == std::string::npos
                ? result<std::string>(failure(error_kind::invalid, "no colon"))
                : from_hex(part.substr(colon + 1));
        if (!key || key.value().size() < min_key_bytes || colon != 1 ||
            part[0] < '0' || part[0] > '9')
        {
            file.fault("security", "keys",
                       "each must be digit:hex with at least 16 bytes");
            return;
        }
        into.keys[static_cast<std::uint8_t>(part[0] - '0')] = key.value();
    }
    into.active_key = static_cast<std::uint8_t>(
        file.number("security", "active_key", std::nullopt, 0, 9));
    if (!into.keys.contains(into.active_key))
        file.fault("security", "active_key", "no key has this number");
    if (into.kind == role::entry)
        into.operator_token =
            file.text("security", "operator_token", std::nullopt);
}

void read_platform(ini_file& file, node_settings& into)
{
    into.instance_list_url =
        file.text("platform", "instance_list", std::nullopt);
    into.instance_list_interval =
        file.duration("platform", "instance_list_interval", milliseconds(1000));
    into.key_value_url = file.text("platform", "key_value", std::nullopt);
    into.key_value_timeout =
        file.duration("platform", "key_value_timeout", milliseconds(1000));
}

void read_membership(ini_file& file, node_settings& into)
{
    into.heartbeat_interval =
        file.duration("membership", "heartbeat_interval", milliseconds(1000));
    into.report_interval =
        file.duration("membership", "report_interval", milliseconds(1000));
    into.gossip_neighbours = static_cast<std::size_t>(
        file.number("membership", "gossip_neighbours", 8, 2, 64));
}

void read_upstream(ini_file& file, node_settings& into)
{
    into.upstream_url = file.text("upstream", "url", std::nullopt);
    into.upstream_kind = file.text("upstream", "kind", "model");
    if (into.upstream_kind != "model" && into.upstream_kind != "plain")
        file.fault("upstream", "kind", "must be model or plain");
    into.upstream_checks_fencing = file.flag("upstream", "checks_orders", true);
    into.upstream_slots = static_cast<std::size_t>(
        file.number("upstream", "slots", 16, 1, 100'000));
    into.labels = split_list(file.text("upstream", "labels", ""));
}

void read_transfer(ini_file& file, node_settings& into)
{
    into.origin_url = file.text("transfer", "origin", "");
    into.weight_store_url = file.text("transfer", "weight_store", "");
    into.upload_rate = file.bytes("transfer", "upload_rate", 0.0, true);
    into.download_rate = file.bytes("transfer", "download_rate", 0.0, true);
    into.transfer_neighbours = static_cast<std::size_t>(
        file.number("transfer", "neighbours", 24, 1, 256));
    into.max_staged_bytes =
        file.bytes("transfer", "staged_limit", 2048 * mebibyte, false);
    into.origin_extra_fraction =
        static_cast<double>(
            file.number("transfer", "origin_extra_percent", 0, 0, 400)) /
        100;
    const auto policy = file.text("transfer", "policy", "swarm");
    if (policy == "stripes")
        into.policy = transfer_policy::stripes;
    else if (policy == "chain")
        into.policy = transfer_policy::chain;
    else if (policy == "origin_only")
        into.policy = transfer_policy::origin_only;
    else if (policy != "swarm")
        file.fault("transfer", "policy",
                   "must be swarm, stripes, chain or origin_only");
}

void read_requests(ini_file& file, node_settings& into)
{
    into.max_request_bytes = static_cast<std::size_t>(
        file.bytes("requests", "max_body", mebibyte, false));
    into.max_streams = static_cast<std::size_t>(
        file.number("requests", "max_streams", 4096, 1, 1'000'000));
    into.queue_limit = static_cast<std::size_t>(
        file.number("requests", "queue_limit", 256, 0, 1'000'000));
    into.default_deadline =
        file.duration("requests", "default_deadline", milliseconds(60'000));
    into.max_upstreams = static_cast<std::size_t>(
        file.number("requests", "max_upstreams", 64, 1, 10'000));
    const auto routing = file.text("requests", "routing", "scored");
    if (routing == "least_loaded")
        into.routing = routing_policy::least_loaded;
    else if (routing == "round_robin")
        into.routing = routing_policy::round_robin;
    else if (routing != "scored")
        file.fault("requests", "routing",
                   "must be scored, least_loaded or round_robin");
}

result<node_settings> read_all(ini_file& file)
{
    node_settings read;
    read_instance(file, read);
    read_keys(file, read);
    read_platform(file, read);
    read_membership(file, read);
    if (read.kind == role::side)
    {
        read_upstream(file, read);
        read_transfer(file, read);
    }
    else
    {
        read_requests(file, read);
    }
    auto checked = file.finish();
    if (!checked)
        return failure(checked.error().kind, checked.error().message);
    return read;
}

result<node_settings> read_opened(result<ini_file> file)
{
    if (!file)
        return failure(file.error().kind, file.error().message);
    return read_all(file.value());
}

} // namespace internal

result<node_settings> node_settings::load(const std::string& path)
{
    return internal::read_opened(ini_file::load(path));
}

result<node_settings> node_settings::parse(const std::string& name,
                                           const std::string& text)
{
    return internal::read_opened(ini_file::parse(name, text));
}

} // namespace coursejunction
