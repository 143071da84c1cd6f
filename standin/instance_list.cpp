/*! @file
 * @brief Stand-in of the platform's instance list, with lag.
 */
#include <deque>
#include <map>

#include "standin.hpp"

namespace standin
{

class instance_list
{
public:
    explicit instance_list(event_loop& target) : later(target) { publish(); }

    void handle(http_request request, const reply_pointer& reply)
    {
        const auto parts = split_path(request.path);
        if (request.path == "/faults")
            return set_faults(request, reply);
        if (parts.empty() || parts[0] != "instances")
            return reply->send(404, "", {}, "");
        if (request.method == "GET")
            return read(request, reply);
        change(parts, request, reply);
    }

private:
    void set_faults(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body);
        down = body.value("down", down);
        lag = std::chrono::milliseconds(body.value("lag_ms", lag.count()));
        send_json(reply, 200, {{"done", true}});
    }

    void read(const http_request& request, const reply_pointer& reply)
    {
        ++reads;
        if (down)
            return reply->cut();
        const auto tag = "\"" + std::to_string(version) + "\"";
        if (request.header("if-none-match") == tag)
            return reply->send(304, "", {{"ETag", tag}}, "");
        reply->send(200, "application/json", {{"ETag", tag}}, shown);
    }

    void change(const std::vector<std::string>& parts,
                const http_request& request, const reply_pointer& reply)
    {
        if (request.method == "PUT" && parts.size() == 2)
            instances[parts[1]] = json::parse(request.body);
        else if (request.method == "DELETE" && parts.size() == 2)
            instances.erase(parts[1]);
        else if (request.method == "POST" && parts.size() == 3 &&
                 parts[2] == "leaving")
            instances[parts[1]]["state"] = "leaving";
        else
            return reply->send(404, "", {}, "");
        later.after(lag, [this] { publish(); });
        send_json(reply, 200, {{"done", true}});
    }

    void publish()
    {
        json list = json::array();
        for (const auto& [id, one] : instances)
            list.push_back(one);
        ++version;
        shown = list.dump();
    }

    delayer later;
    std::map<std::string, json> instances;
    std::string shown;
    std::uint64_t version{0};
    std::uint64_t reads{0};
    bool down{false};
    std::chrono::milliseconds lag{0};
};

} // namespace standin

int main(int argc, char** argv)
{
    cxxopts::Options options("instance_list", "stand-in of the instance list");
    const auto parsed = standin::parse(options, argc, argv);
    coursejunction::event_loop loop;
    standin::instance_list service(loop);
    return standin::run(loop, service, parsed["port"].as<std::uint16_t>(), 2,
                        std::size_t{1} << 20U);
}
