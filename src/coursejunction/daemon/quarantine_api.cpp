#include "coursejunction/daemon/quarantine_api.hpp"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace coursejunction
{

namespace
{

void send_json(http_reply& reply, int status, const nlohmann::json& body)
{
    reply.send(status, "application/json", {}, body.dump());
}

std::string_view status_name(crash_status status)
{
    switch (status)
    {
    case crash_status::clear:
        return "clear";
    case crash_status::suspect:
        return "doubted";
    case crash_status::on_trial:
        return "on trial";
    case crash_status::quarantined:
        break;
    }
    return "quarantined";
}

std::string_view subject_name(message::crash_subject subject)
{
    return subject == message::crash_subject::prompt_part ? "prompt part"
                                                          : "request";
}

void add_records(nlohmann::json& list, const crash_ledger& ledger,
                 time_point now)
{
    for (const auto& [content, history] : ledger.histories())
    {
        const auto status = ledger.status(content, now);
        if (status == crash_status::clear)
            continue;
        list.push_back(
            {{"content", content.hex()},
             {"subject", std::string(subject_name(ledger.subject()))},
             {"standing", std::string(status_name(status))},
             {"ends", history.active_crashes()},
             {"left_ms", ledger.quarantine_left(content, now).count()}});
    }
}

std::string quarantine_json(const crash_ledgers& ledgers, time_point now)
{
    auto list = nlohmann::json::array();
    for (const crash_ledger& ledger : ledgers)
        add_records(list, ledger, now);
    return list.dump();
}

} // namespace

void handle_quarantine_request(const http_request& from, http_reply& reply,
                               const crash_ledgers& ledgers,
                               const lift_callback& lift, time_point now)
{
    const std::string_view root(quarantine_path);
    if (from.path == root && from.method == "GET")
        return reply.send(200, "application/json", {},
                          quarantine_json(ledgers, now));
    if (from.method != "DELETE" || from.path.size() <= root.size() + 1)
        return send_json(reply, 404,
                         {{"error", "not_found"}, {"message", "no such path"}});
    const auto content = request_content::parse(
        std::string_view(from.path).substr(root.size() + 1));
    if (!content)
        return send_json(
            reply, 400,
            {{"error", "invalid"}, {"message", content.error().message}});
    if (!lift(content.value()))
        return send_json(reply, 404,
                         {{"error", "not_found"},
                          {"message", "this content is not quarantined"}});
    send_json(reply, 200, {{"lifted", content.value().hex()}});
}

} // namespace coursejunction
