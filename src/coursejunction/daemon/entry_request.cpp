#include "coursejunction/daemon/entry_request.hpp"

#include <algorithm>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "coursejunction/core/digest.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr std::size_t prefix_block_bytes = 64;
constexpr std::size_t max_prefix_blocks = 32;
constexpr std::size_t max_header_bytes = 256;
constexpr milliseconds min_deadline{1};
constexpr milliseconds max_deadline{3'600'000};
constexpr std::string_view services_path = "/services/";

auto invalid_input(const std::string& message)
{
    return failure(error_kind::invalid, message);
}

/*! @brief Returns the hashes of a prompt's prefixes of whole blocks, the
 * longest first. */
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    const auto blocks =
        std::min(prompt.size() / prefix_block_bytes, max_prefix_blocks);
    for (std::size_t count = blocks; count > 0; --count)
        hashes.push_back(
            stable_hash(prompt.substr(0, count * prefix_block_bytes)));
    return hashes;
}

result<bool> read_flag(const http_request& from, const std::string& name)
{
    const auto text = from.header(name);
    if (!text.empty() && text != "true" && text != "false")
        return invalid_input("Not-Repeatable: must be true or false");
    return text == "true";
}

result<milliseconds> read_deadline(const http_request& from,
                                   milliseconds default_timeout)
{
    const auto text = from.header("deadline-ms");
    if (text.empty())
        return default_timeout;
    const milliseconds timeout(std::atoll(text.c_str()));
    if (timeout < min_deadline || timeout > max_deadline)
        return invalid_input("Deadline-Ms: must lie between 1 and 3600000");
    return timeout;
}

result<bool> read_service(entry_request& into, const std::string& path)
{
    const auto rest = path.substr(services_path.size());
    const auto slash = rest.find('/');
    into.route.kind = "plain";
    into.route.model = rest.substr(0, slash);
    into.path = slash == std::string::npos ? "/" : rest.substr(slash);
    // The same id goes to the same sidecar, which may have cached the response.
    into.route.affinity = into.id.value();
    if (into.route.model.empty())
        return invalid_input("path: the service name is missing");
    return true;
}

result<bool> read_completion(entry_request& into, const std::string& path)
{
    const auto body = json::parse(into.body, nullptr, false);
    if (!body.is_object())
        return invalid_input("body: must be a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return invalid_input("model: must be a string");
    if (body.contains("prompt") && !body["prompt"].is_string())
        return invalid_input("prompt: must be a string");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return invalid_input("stream: must be true or false");
    into.route.kind = "model";
    into.route.model = body["model"].get<std::string>();
    into.path = path;
    into.streamed = body.value("stream", false);
    if (!body.contains("prompt"))
        return true;
    into.route.prefixes =
        prefix_hashes(body["prompt"].get_ref<const std::string&>());
    if (!into.route.prefixes.empty())
        into.route.affinity = std::to_string(into.route.prefixes.back());
    return true;
}

} // namespace internal

result<entry_request> parse_entry_request(http_request& from,
                                          milliseconds default_timeout)
{
    entry_request parsed;
    const auto id = from.header("request-id");
    const auto organisation = from.header("organisation");
    if (id.size() > internal::max_header_bytes)
        return internal::invalid_input(
            "Request-Id: must have at most 256 bytes");
    if (organisation.size() > internal::max_header_bytes)
        return internal::invalid_input(
            "Organisation: must have at most 256 bytes");
    parsed.id = request_id(id.empty() ? random_id() : id);
    parsed.organisation =
        organisation_id(organisation.empty() ? "unnamed" : organisation);
    parsed.priority = std::atoi(from.header("priority").c_str());
    const auto not_repeatable = internal::read_flag(from, "not-repeatable");
    if (!not_repeatable)
        return failure(not_repeatable.error().kind,
                       not_repeatable.error().message);
    parsed.not_repeatable = not_repeatable.value();
    if (parsed.not_repeatable && id.empty())
        return internal::invalid_input(
            "Request-Id: is required with Not-Repeatable");
    const auto timeout = internal::read_deadline(from, default_timeout);
    if (!timeout)
        return failure(timeout.error().kind, timeout.error().message);
    parsed.timeout = timeout.value();
    parsed.body = std::move(from.body);
    const auto routed = from.path.rfind(internal::services_path, 0) == 0
                            ? internal::read_service(parsed, from.path)
                            : internal::read_completion(parsed, from.path);
    if (!routed)
        return failure(routed.error().kind, routed.error().message);
    return parsed;
}

} // namespace coursejunction
