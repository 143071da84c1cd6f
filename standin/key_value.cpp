/*! @file
 * @brief Stand-in of the platform's key-value service: the part of Consul's
 * published HTTP interface that the system uses (values, check-and-set,
 * blocking queries, sessions that delete what they hold).
 */
#include <map>
#include <optional>
#include <set>

#include "coursejunction/core/base64.hpp"
#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/pacing.hpp"
#include "standin.hpp"

namespace standin
{

using coursejunction::time_point;

class key_value
{
public:
    key_value(event_loop& target, double reads, double writes)
        : loop(target), later(target), read_limit(reads, reads),
          write_limit(writes, writes)
    {
    }

    void handle(http_request request, const reply_pointer& reply)
    {
        if (request.path == "/faults")
            return set_faults(request, reply);
        if (request.path == "/counts")
            return send_json(reply, 200, counts());
        if (request.path == "/copy")
            return take_copy(reply);
        if (request.path == "/restore")
            return restore(reply);
        if (down)
            return reply->cut();
        if (delay.count() > 0)
            return later.after(delay, [this, request = std::move(request),
                                       reply] { serve(request, reply); });
        serve(request, reply);
    }

private:
    struct entry
    {
        std::string value;
        std::string session;
        std::uint64_t index{0};
    };

    struct watch
    {
        std::string key;
        std::uint64_t index{0};
        reply_pointer reply;
    };

    /*! @brief All that a restore brings back. */
    struct contents
    {
        std::map<std::string, entry> entries;
        std::set<std::string> sessions;
        std::uint64_t last{1};
    };

    static constexpr std::size_t max_value = std::size_t{1} << 20U;

    void take_copy(const reply_pointer& reply)
    {
        copy = {entries, sessions, last};
        send_json(reply, 200, {{"index", last}});
    }

    /*! @brief Restores the copy: later writes and sessions are lost, and their
     * indices are given out again. */
    void restore(const reply_pointer& reply)
    {
        cut_watches();
        entries = copy.entries;
        sessions = copy.sessions;
        last = copy.last;
        previous.clear();
        send_json(reply, 200, {{"index", last}});
    }

    void cut_watches()
    {
        for (auto& one : watches)
            one.reply->cut();
        watches.clear();
    }

    void set_faults(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body);
        const bool was_down = down;
        down = body.value("down", down);
        delay = std::chrono::milliseconds(
            body.value("delay_ms", std::int64_t{delay.count() / 1000}));
        lose_answers = body.value("lose_answers", lose_answers);
        stale_reads = body.value("stale_reads", stale_reads);
        down_after_write = body.value("down_after_write", false);
        silence_watches(body.value("silent_watches", silent_watches));
        if (down && !was_down)
            cut_watches();
        send_json(reply, 200, {{"done", true}});
    }

    /*! @brief While they are silent, watches report no write; afterwards, each
     * reports only the last one. */
    void silence_watches(bool silent)
    {
        silent_watches = silent;
        if (silent)
            return;
        for (const auto& [key, one] : entries)
            wake(key);
    }

    json counts() const
    {
        return {{"reads", reads},     {"writes", writes},
                {"watches", watched}, {"watching", watches.size()},
                {"refused", refused}, {"keys", entries.size()}};
    }

    void serve(const http_request& request, const reply_pointer& reply)
    {
        constexpr std::string_view keys = "/v1/kv/";
        if (request.path == "/v1/session/create")
            return create_session(request, reply);
        if (request.path.rfind(keys, 0) != 0)
            return reply->send(404, "", {}, "");
        const auto key = request.path.substr(keys.size());
        if (request.method == "GET")
            return read(key, request, reply);
        if (request.method == "PUT")
            return write(key, request, reply);
        reply->send(405, "", {}, "");
    }

    bool within(coursejunction::token_bucket& limit, const reply_pointer& reply)
    {
        if (limit.take(1, event_loop::now()))
            return true;
        ++refused;
        reply->send(429, "text/plain", {}, "rate limit");
        return false;
    }

    void create_session(const http_request& request, const reply_pointer& reply)
    {
        if (!within(write_limit, reply))
            return;
        ++writes;
        const auto id = coursejunction::random_id();
        const auto body = json::parse(request.body, nullptr, false);
        const auto ttl = std::stol(body.value("TTL", "15s"));
        sessions.insert(id);
        later.after(std::chrono::seconds(ttl), [this, id] { expire(id); });
        send_json(reply, 200, {{"ID", id}});
    }

    void expire(const std::string& session)
    {
        sessions.erase(session);
        std::erase_if(entries, [&](const auto& one)
                      { return one.second.session == session; });
    }

    void read(const std::string& key, const http_request& request,
              const reply_pointer& reply)
    {
        if (!within(read_limit, reply))
            return;
        const auto index = request.parameter("index");
        const auto found = entries.find(key);
        const auto now = found == entries.end() ? 0 : found->second.index;
        const auto above = index ? std::stoull(*index) : 0;
        if (above == 0 || above < now)
        {
            ++reads;
            return send_entry(key, reply);
        }
        ++watched;
        watches.push_back({key, above, reply});
        const auto wait = request.parameter("wait").value_or("10s");
        later.after(std::chrono::seconds(std::stol(wait)),
                    [this, reply] { end_watch(reply); });
    }

    void end_watch(const reply_pointer& reply)
    {
        std::erase_if(watches,
                      [&](const watch& one)
                      {
                          if (one.reply != reply)
                              return false;
                          if (silent_watches)
                              reply->cut();
                          else
                              send_entry(one.key, reply);
                          return true;
                      });
    }

    void send_entry(const std::string& key, const reply_pointer& reply)
    {
        const auto found = entries.find(key);
        const bool stale = stale_reads > 0 && previous.contains(key);
        const header_map headers{{"X-Consul-Index", std::to_string(last)}};
        if (found == entries.end())
            return reply->send(404, "", headers, "");
        const auto& one = stale ? previous.at(key) : found->second;
        stale_reads -= stale ? 1 : 0;
        const json body =
            json::array({{{"Key", key},
                          {"ModifyIndex", one.index},
                          {"Value", coursejunction::to_base64(one.value)}}});
        reply->send(200, "application/json", headers, body.dump());
    }

    void write(const std::string& key, const http_request& request,
               const reply_pointer& reply)
    {
        if (!within(write_limit, reply))
            return;
        ++writes;
        if (request.body.size() > max_value)
            return reply->send(413, "", {}, "");
        const auto session = request.parameter("acquire");
        if (session && !sessions.contains(*session))
            return reply->send(500, "text/plain", {}, "invalid session");
        const bool done = apply(key, request);
        if (down_after_write)
        {
            down = true;
            return reply->cut();
        }
        if (lose_answers > 0)
        {
            --lose_answers;
            return reply->cut();
        }
        reply->send(200, "application/json", {}, done ? "true" : "false");
    }

    bool apply(const std::string& key, const http_request& request)
    {
        const auto found = entries.find(key);
        const auto cas = request.parameter("cas");
        const auto now = found == entries.end() ? 0 : found->second.index;
        if (cas && std::stoull(*cas) != now)
            return false;
        const auto session = request.parameter("acquire").value_or("");
        if (!session.empty() && found != entries.end() &&
            found->second.session != session)
            return false;
        if (found != entries.end())
            previous[key] = found->second;
        entries[key] = {request.body, session, ++last};
        if (!silent_watches)
            wake(key);
        return true;
    }

    /*! @brief Answers the watches of a key that wait for a lower index. */
    void wake(const std::string& key)
    {
        std::vector<watch> due;
        const auto now = entries.at(key).index;
        std::erase_if(watches,
                      [&](const watch& one)
                      {
                          if (one.key != key || one.index >= now)
                              return false;
                          due.push_back(one);
                          return true;
                      });
        for (const auto& one : due)
            send_entry(one.key, one.reply);
    }

    event_loop& loop;
    delayer later;
    coursejunction::token_bucket read_limit;
    coursejunction::token_bucket write_limit;
    std::map<std::string, entry> entries;
    std::map<std::string, entry> previous;
    std::set<std::string> sessions;
    contents copy;
    std::vector<watch> watches;
    std::uint64_t last{1};
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t watched{0};
    std::uint64_t refused{0};
    bool down{false};
    bool down_after_write{false};
    bool silent_watches{false};
    std::chrono::microseconds delay{0};
    int lose_answers{0};
    int stale_reads{0};
};

} // namespace standin

int main(int argc, char** argv)
{
    cxxopts::Options options("key_value", "stand-in of the key-value service");
    options.add_options()("reads", "reads a second",
                          cxxopts::value<double>()->default_value("2000"))(
        "writes", "writes a second",
        cxxopts::value<double>()->default_value("300"));
    const auto parsed = standin::parse(options, argc, argv);
    coursejunction::event_loop loop;
    standin::key_value service(loop, parsed["reads"].as<double>(),
                               parsed["writes"].as<double>());
    return standin::run(loop, service, parsed["port"].as<std::uint16_t>(), 2,
                        std::size_t{2} << 20U);
}
