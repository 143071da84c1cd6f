#include "coursejunction/cli/api_client.hpp"

#include <nlohmann/json.hpp>

#include "coursejunction/net/http_client.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

std::string message_of(const std::string& body)
{
    const auto parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return body;
    auto text = parsed.value("message", body);
    if (parsed.contains("write") && parsed["write"].is_string())
        text += "; ask with: coursejunctionctl write " +
                parsed["write"].get<std::string>();
    return text;
}

cli_exit exit_of(int status, const std::string& body)
{
    if (status >= 200 && status < 300)
        return cli_exit::done;
    const auto parsed = json::parse(body, nullptr, false);
    const auto name =
        parsed.is_object() ? parsed.value("error", "") : std::string{};
    if (name == "unknown")
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

api_client::api_client(std::string entry, std::string secret)
    : base(std::move(entry)), token(std::move(secret))
{
}

api_answer api_client::call(const std::string& method, const std::string& path,
                            const std::string& body, milliseconds timeout) const
{
    http_call call;
    call.method = method;
    call.url = base + path;
    call.body = body;
    call.timeout = timeout;
    call.headers["Authorization"] = "Bearer " + token;
    call.headers["Content-Type"] = "application/json";
    auto end = perform(call);
    api_answer answer;
    answer.status = end.status;
    answer.body = std::move(end.body);
    if (end.reach == http_reach::answered)
    {
        answer.code = internal::exit_of(answer.status, answer.body);
        if (!answer.ok())
            answer.message = internal::message_of(answer.body);
        return answer;
    }
    const bool changes = method != "GET";
    const bool sent = end.reach == http_reach::interrupted;
    answer.code = changes && sent ? cli_exit::unknown : cli_exit::unavailable;
    answer.message = base + ": " + end.fault;
    return answer;
}

} // namespace coursejunction
