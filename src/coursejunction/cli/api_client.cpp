#include "coursejunction/cli/api_client.hpp"

#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

#include "coursejunction/net/http_client.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

/*! @brief Returns the error message of a response, and how to ask for the
 * result of a write that is unknown. */
std::string response_error(const std::string& body)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return body;
    auto message = parsed.value("message", body);
    if (parsed.contains("write") && parsed["write"].is_string())
        message += "; ask with: coursejunctionctl write " +
                   parsed["write"].get<std::string>();
    return message;
}

cli_exit exit_code_of(int status, const std::string& body)
{
    if (status >= 200 && status < 300)
        return cli_exit::done;
    const auto parsed = json::parse(body, nullptr, false);
    const auto error_name =
        parsed.is_object() ? parsed.value("error", "") : std::string{};
    if (error_name == "unknown")
        return cli_exit::unknown;
    if (status == 400 || status == 401)
        return cli_exit::usage;
    if (status == 404)
        return cli_exit::not_found;
    if (status == 409)
        return cli_exit::conflict;
    if (status == 503)
        return cli_exit::unavailable;
    return cli_exit::failed;
}

} // namespace internal

api_client::api_client(std::string entry_url, std::string operator_token)
    : base_url(std::move(entry_url)), token(std::move(operator_token))
{
}

api_response api_client::call(const std::string& method,
                              const std::string& path, const std::string& body,
                              milliseconds timeout) const
{
    http_call call;
    call.method = method;
    call.url = base_url + path;
    call.body = body;
    call.timeout = timeout;
    call.headers["Authorization"] = "Bearer " + token;
    call.headers["Content-Type"] = "application/json";
    auto result = perform(call);
    api_response response;
    response.status = result.status;
    response.body = std::move(result.body);
    if (result.reach == http_reach::answered && !result.unframed)
    {
        response.code = internal::exit_code_of(response.status, response.body);
        if (!response.ok())
            response.message = internal::response_error(response.body);
        return response;
    }
    const bool is_change = method != "GET";
    const bool sent = result.reach != http_reach::not_sent;
    response.code =
        is_change && sent ? cli_exit::unknown : cli_exit::unavailable;
    response.message =
        base_url + ": " +
        (result.unframed ? "the response may be incomplete" : result.fault);
    return response;
}

api_response api_client::read(const std::string& path) const
{
    constexpr int unavailable = 503;
    const auto until = std::chrono::steady_clock::now() + max_unavailable;
    while (true)
    {
        auto response = call("GET", path);
        if (response.status != unavailable ||
            std::chrono::steady_clock::now() >= until)
            return response;
        std::this_thread::sleep_for(retry_interval);
    }
}

} // namespace coursejunction
