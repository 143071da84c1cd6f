/*! @file
 * @brief Stand-in of a plain service (ledger or notices): it records every
 * run, and is the judge of what ran how often.
 */
#include <map>

#include "standin.hpp"

namespace standin
{

class plain_service
{
public:
    explicit plain_service(event_loop& target) : later(target) {}

    void handle(http_request request, const reply_pointer& reply)
    {
        if (request.path == "/faults")
            return set_faults(request, reply);
        if (request.path == "/record")
            return send_json(reply, 200, {{"runs", runs}});
        run(request, reply);
    }

private:
    void set_faults(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body);
        delay = std::chrono::milliseconds(
            body.value("delay_ms", std::int64_t{delay.count() / 1000}));
        lose_answers = body.value("lose_answers", lose_answers);
        send_json(reply, 200, {{"done", true}});
    }

    void run(const http_request& request, const reply_pointer& reply)
    {
        const auto id = request.header("request-id");
        const auto count = ++runs[id];
        const json body{{"request", id},
                        {"run", count},
                        {"path", request.path},
                        {"echo", request.body}};
        if (lose_answers > 0)
        {
            --lose_answers;
            return reply->cut();
        }
        later.after(delay, [reply, body] { send_json(reply, 200, body); });
    }

    delayer later;
    std::map<std::string, int> runs;
    std::chrono::microseconds delay{0};
    int lose_answers{0};
};

} // namespace standin

int main(int argc, char** argv)
{
    cxxopts::Options options("plain_service", "stand-in of a plain service");
    const auto parsed = standin::parse(options, argc, argv);
    coursejunction::event_loop loop;
    standin::plain_service service(loop);
    return standin::run(loop, service, parsed["port"].as<std::uint16_t>(), 2,
                        std::size_t{1} << 20U);
}
