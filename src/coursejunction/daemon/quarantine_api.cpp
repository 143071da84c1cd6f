#include "coursejunction/daemon/quarantine_api.hpp"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace coursejunction
{

namespace
{

void answer(http_reply& reply, int status, const nlohmann::json& body)
{
    reply.send(status, "application/json", {}, body.dump());
}

std::string_view standing_name(crash_status what)
{
    switch (what)
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

std::string quarantine_json(const crash_ledger& ledger, time_point now)
{
    auto list = nlohmann::json::array();
    for (const auto& [what, one] : ledger.histories())
    {
        const auto standing = ledger.status(what, now);
        if (standing == crash_status::clear)
            continue;
        list.push_back(
            {{"content", what.hex()},
             {"standing", std::string(standing_name(standing))},
             {"ends", one.active_crashes()},
             {"left_ms", ledger.quarantine_left(what, now).count()}});
    }
    return list.dump();
}

} // namespace

void handle_quarantine_request(const http_request& from, http_reply& reply,
                               const crash_ledger& ledger,
                               const lift_callback& lift, time_point now)
{
    const std::string_view root(quarantine_path);
    if (from.path == root && from.method == "GET")
        return reply.send(200, "application/json", {},
                          quarantine_json(ledger, now));
    if (from.method != "DELETE" || from.path.size() <= root.size() + 1)
        return answer(reply, 404,
                      {{"error", "not_found"}, {"message", "no such path"}});
    const auto what = request_content::parse(
        std::string_view(from.path).substr(root.size() + 1));
    if (!what)
        return answer(
            reply, 400,
            {{"error", "invalid"}, {"message", what.error().message}});
    if (!lift(what.value()))
        return answer(reply, 404,
                      {{"error", "not_found"},
                       {"message", "this content is not quarantined"}});
    answer(reply, 200, {{"lifted", what.value().hex()}});
}

} // namespace coursejunction
