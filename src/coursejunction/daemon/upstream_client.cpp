#include "coursejunction/daemon/upstream_client.hpp"

#include <nlohmann/json.hpp>

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr milliseconds state_timeout{2000};
constexpr milliseconds stage_timeout{10'000};
constexpr milliseconds load_timeout{600'000};

result<engine_state> parse_state(const http_result& response)
{
    const auto body = json::parse(response.body, nullptr, false);
    if (!response.ok() || !body.is_object())
        return failure(error_kind::unavailable,
                       "the engine does not respond: " + response.fault);
    engine_state state;
    const auto serving = digest::parse(body.value("serving", ""));
    if (serving)
        state.serving = serving.value();
    state.newest_token = fencing_token(body.value("token", std::uint64_t{0}));
    state.loading = body.value("loading", false);
    state.running = body.value("running", std::size_t{0});
    state.slots = body.value("slots", std::size_t{0});
    if (body.contains("cached") && body["cached"].is_array())
    {
        for (const auto& hash : body["cached"])
        {
            if (hash.is_number_unsigned())
                state.cached_prefixes.push_back(hash.get<std::uint64_t>());
        }
    }
    return state;
}

load_response parse_load(const http_result& response)
{
    using kind = load_response::kind;
    if (response.reach == http_reach::interrupted)
        return {kind::unknown,
                "the response to the load command was lost: " + response.fault};
    if (response.reach == http_reach::not_sent)
        return {kind::failed, "the engine does not respond: " + response.fault};
    if (response.ok())
        return {kind::loaded, ""};
    const auto body = json::parse(response.body, nullptr, false);
    const auto reason =
        body.is_object() ? body.value("error", "") : std::string{};
    const auto text = "the engine refused the load: " + reason + " (status " +
                      std::to_string(response.status) + ")";
    if (response.status == 422)
        return {kind::chunks_missing, text};
    if (reason == "stale token")
        return {kind::stale_token, text};
    return {kind::failed, text};
}

} // namespace internal

upstream_client::upstream_client(http_client& carrier, std::string base)
    : client(carrier), base_url(std::move(base))
{
}

void upstream_client::read_state(std::function<void(result<engine_state>)> done)
{
    http_call call;
    call.url = base_url + "/v1/state";
    call.timeout = internal::state_timeout;
    client.start(std::move(call),
                 [done = std::move(done)](const http_result& response)
                 { done(internal::parse_state(response)); });
}

void upstream_client::put(const std::string& path, std::string body,
                          std::function<void(bool)> done)
{
    http_call call;
    call.method = "PUT";
    call.url = base_url + path;
    call.body = std::move(body);
    call.timeout = internal::stage_timeout;
    client.start(std::move(call),
                 [done = std::move(done)](const http_result& response)
                 { done(response.ok()); });
}

void upstream_client::stage_manifest(const digest& version, std::string text,
                                     std::function<void(bool)> done)
{
    put("/v1/stage/" + version.hex(), std::move(text), std::move(done));
}

void upstream_client::stage_chunk(const digest& version, std::uint32_t chunk,
                                  std::string bytes,
                                  std::function<void(bool)> done)
{
    put("/v1/stage/" + version.hex() + "/" + std::to_string(chunk),
        std::move(bytes), std::move(done));
}

void upstream_client::load(const load_command& command,
                           std::function<void(load_response)> done)
{
    http_call call;
    call.method = "POST";
    call.url = base_url + "/v1/load";
    call.body = internal::json{{"version", command.version.hex()},
                               {"model", command.model},
                               {"adapter", command.adapter},
                               {"role", command.engine_role},
                               {"token", command.token.value()}}
                    .dump();
    call.timeout = internal::load_timeout;
    client.start(std::move(call),
                 [done = std::move(done)](const http_result& response)
                 { done(internal::parse_load(response)); });
}

} // namespace coursejunction
