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

constexpr std::size_t prefix_block = 64;
constexpr std::size_t max_prefix_blocks = 32;
constexpr std::size_t max_header = 256;
constexpr milliseconds least_deadline{1};
constexpr milliseconds most_deadline{3'600'000};
constexpr std::string_view services_path = "/services/";

auto wrong(const std::string& what)
{
    return failure(error_kind::invalid, what);
}

/*! @brief Hashes of a prompt's prefixes in whole blocks, longest first. */
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    const auto blocks =
        std::min(prompt.size() / prefix_block, max_prefix_blocks);
    for (std::size_t count = blocks; count > 0; --count)
        hashes.push_back(stable_hash(prompt.substr(0, count * prefix_block)));
    return hashes;
}

result<bool> read_flag(const http_request& from, const std::string& name)
{
    const auto text = from.header(name);
    if (!text.empty() && text != "true" && text != "false")
        return wrong("Not-Repeatable: must be true or false");
    return text == "true";
}

result<milliseconds> read_deadline(const http_request& from,
                                   milliseconds otherwise)
{
    const auto text = from.header("deadline-ms");
    if (text.empty())
        return otherwise;
    const milliseconds allowed(std::atoll(text.c_str()));
    if (allowed < least_deadline || allowed > most_deadline)
        return wrong("Deadline-Ms: must lie between 1 and 3600000");
    return allowed;
}

result<bool> read_service(entry_request& into, const std::string& path)
{
    const auto rest = path.substr(services_path.size());
    const auto slash = rest.find('/');
    into.route.kind = "plain";
    into.route.model = rest.substr(0, slash);
    into.path = slash == std::string::npos ? "/" : rest.substr(slash);
    // The same id meets the same side, which may still know its answer.
    into.route.affinity = into.id.value();
    if (into.route.model.empty())
        return wrong("path: names no service");
    return true;
}

result<bool> read_completion(entry_request& into, const std::string& path)
{
    const auto body = json::parse(into.body, nullptr, false);
    if (!body.is_object())
        return wrong("body: must be a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return wrong("model: must be a text");
    if (body.contains("prompt") && !body["prompt"].is_string())
        return wrong("prompt: must be a text");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return wrong("stream: must be true or false");
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
                                          milliseconds otherwise)
{
    entry_request read;
    const auto id = from.header("request-id");
    const auto organisation = from.header("organisation");
    if (id.size() > internal::max_header)
        return internal::wrong("Request-Id: must have at most 256 bytes");
    if (organisation.size() > internal::max_header)
        return internal::wrong("Organisation: must have at most 256 bytes");
    read.id = request_id(id.empty() ? random_id() : id);
    read.organisation =
        organisation_id(organisation.empty() ? "unnamed" : organisation);
    read.priority = std::atoi(from.header("priority").c_str());
    const auto once = internal::read_flag(from, "not-repeatable");
    if (!once)
        return failure(once.error().kind, once.error().message);
    read.not_repeatable = once.value();
    if (read.not_repeatable && id.empty())
        return internal::wrong("Request-Id: is needed with Not-Repeatable");
    const auto allowed = internal::read_deadline(from, otherwise);
    if (!allowed)
        return failure(allowed.error().kind, allowed.error().message);
    read.timeout = allowed.value();
    read.body = std::move(from.body);
    const auto rest = from.path.rfind(internal::services_path, 0) == 0
                          ? internal::read_service(read, from.path)
                          : internal::read_completion(read, from.path);
    if (!rest)
        return failure(rest.error().kind, rest.error().message);
    return read;
}

} // namespace coursejunction
