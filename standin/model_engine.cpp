/*! @file
 * @brief Stand-in of model engines: one process carries several, each below
 * its own path `/N`. It batches in outline, streams tokens that carry the
 * hash of the weights they were computed with, stages chunks, and loads by
 * fenced order.
 */
#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/transfer/manifest.hpp"
#include "standin.hpp"

namespace standin
{

using coursejunction::digest;
using coursejunction::time_point;
using std::chrono::microseconds;

/*! @brief Speeds of all engines of the process. */
struct engine_options
{
    std::size_t slots{16};
    microseconds token{5000};
    microseconds prefill{10'000};
    microseconds load{300'000};
    bool fenced{true};
};

/*! @brief One request in an engine. */
struct generation
{
    std::string id;
    std::string quoted_id;
    std::string weights;
    std::uint64_t seed{0};
    int priority{0};
    std::size_t tokens{0};
    std::size_t done{0};
    std::size_t first{0};
    bool stream{false};
    bool gone{false};
    bool mixed{false};
    std::string text;
    std::string prompt;
    reply_pointer reply;
};

using generation_pointer = std::shared_ptr<generation>;

class engine
{
public:
    engine(delayer& timers, const engine_options& set)
        : later(timers), options(set)
    {
    }

    void handle(const std::string& path, const http_request& request,
                const reply_pointer& reply)
    {
        const auto parts = split_path(path);
        if (path == "/faults")
            return set_faults(request, reply);
        if (path == "/record")
            return send_json(reply, 200, record());
        if (down)
            return reply->cut();
        if (path == "/v1/completions")
            return complete(request, reply);
        if (path == "/v1/state")
            return send_json(reply, 200, state());
        if (path == "/v1/load")
            return order(request, reply);
        if (parts.size() >= 3 && parts[1] == "stage")
            return stage(parts, request, reply);
        reply->send(404, "", {}, "");
    }

private:
    /*! @brief A prompt that ends the engine once it begins to run. */
    static constexpr std::string_view crashing_prompt = "end the engine";
    static constexpr std::size_t block = 64;
    static constexpr std::size_t max_cached = 64;

    void set_faults(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body);
        down = body.value("down", down);
        slow = body.value("slow", slow);
        fail_loads = body.value("fail_loads", fail_loads);
        cut_after = body.value("cut_after", cut_after);
        if (body.value("restart", false))
            restart();
        send_json(reply, 200, {{"done", true}});
    }

    void restart()
    {
        for (const auto& one : running)
        {
            one->gone = true;
            one->reply->cut();
        }
        running.clear();
        waiting.clear();
        serving.clear();
        staged.clear();
        manifests.clear();
    }

    json record() const
    {
        return {{"answers", answers}, {"orders", orders},
                {"refused", refused}, {"loads", loads},
                {"partial", partial}, {"mixed", mixed},
                {"cut_by_load", cut}, {"cancelled", cancelled},
                {"crashed", crashed}};
    }

    json state() const
    {
        return {{"serving", serving},
                {"loading", loading},
                {"token", token},
                {"running", running.size() + waiting.size()},
                {"slots", options.slots},
                {"cached",
                 std::vector<std::uint64_t>(cached.begin(), cached.end())}};
    }

    void stage(const std::vector<std::string>& parts,
               const http_request& request, const reply_pointer& reply)
    {
        const auto& version = parts[2];
        if (parts.size() == 3)
        {
            manifests[version] = request.body;
            staged[version];
            return send_json(reply, 200, {{"done", true}});
        }
        staged[version][std::stoul(parts[3])] = digest::of(request.body).hex();
        send_json(reply, 200, {{"done", true}});
    }

    /*! @brief Returns whether everything of a version is staged and right. */
    bool whole(const std::string& version) const
    {
        const auto text = manifests.find(version);
        const auto chunks = staged.find(version);
        if (text == manifests.end() || chunks == staged.end())
            return false;
        const auto named = digest::parse(version);
        const auto parsed =
            named ? coursejunction::manifest::parse(text->second, named.value())
                  : coursejunction::manifest::parse("", digest());
        if (!parsed || chunks->second.size() != parsed.value().size())
            return false;
        return std::all_of(
            chunks->second.begin(), chunks->second.end(),
            [&](const auto& one)
            {
                return one.first < parsed.value().size() &&
                       parsed.value()[static_cast<coursejunction::chunk_index>(
                                          one.first)]
                               .hex() == one.second;
            });
    }

    void order(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body);
        const auto version = body.at("version").get<std::string>();
        const auto given = body.at("token").get<std::uint64_t>();
        ++orders;
        if (options.fenced && given < token)
        {
            ++refused;
            return send_json(reply, 409, {{"error", "stale token"}});
        }
        token = std::max(token, given);
        if (fail_loads > 0)
        {
            --fail_loads;
            return send_json(reply, 500, {{"error", "out of memory"}});
        }
        const bool complete = whole(version);
        if (options.fenced && !complete)
            return send_json(reply, 422, {{"error", "incomplete"}});
        if (loading)
            return send_json(reply, 409, {{"error", "a load is running"}});
        begin_load(version, complete, reply);
    }

    void begin_load(const std::string& version, bool complete,
                    const reply_pointer& reply)
    {
        loading = true;
        cut += running.size() + waiting.size();
        partial += complete ? 0 : 1;
        serving.clear();
        later.after(options.load,
                    [this, version, complete, reply]
                    {
                        loading = false;
                        ++loads;
                        serving = complete ? version : "partial-" + version;
                        cached.clear();
                        // Only what is served now is kept.
                        std::erase_if(staged, [&](const auto& one)
                                      { return one.first != version; });
                        std::erase_if(manifests, [&](const auto& one)
                                      { return one.first != version; });
                        send_json(reply, 200, {{"serving", serving}});
                    });
    }

    void complete(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return send_json(reply, 400, {{"error", "not JSON"}});
        if (serving.empty())
            return send_json(reply, 503, {{"error", "nothing is loaded"}});
        auto one = std::make_shared<generation>();
        one->id = request.header("request-id");
        one->quoted_id = json(one->id).dump();
        one->weights = serving;
        one->priority = std::atoi(request.header("priority").c_str());
        one->tokens = body.value("max_tokens", std::size_t{8});
        one->stream = body.value("stream", false);
        one->prompt = body.value("prompt", "");
        const auto seed = request.header("seed");
        one->seed = seed.empty() ? coursejunction::stable_hash(one->prompt)
                                 : std::stoull(seed);
        const auto resume = request.header("resume-from");
        one->done = resume.empty() ? 0 : std::stoul(resume);
        one->first = one->done;
        one->reply = reply;
        reply->on_disconnect([one] { one->gone = true; });
        const auto place =
            std::upper_bound(waiting.begin(), waiting.end(), one->priority,
                             [](int priority, const generation_pointer& other)
                             { return priority > other->priority; });
        waiting.insert(place, one);
        fill();
    }

    void fill()
    {
        while (running.size() < options.slots && !waiting.empty())
        {
            const auto one = waiting.front();
            waiting.pop_front();
            running.push_back(one);
            later.after(prefill_time(*one), [this, one] { step(one); });
        }
    }

    /*! @brief Prefill is shorter by what is cached of the prompt. */
    microseconds prefill_time(const generation& one)
    {
        const auto blocks = one.prompt.size() / block;
        std::size_t known = 0;
        for (std::size_t at = 1; at <= blocks; ++at)
        {
            const auto hash = coursejunction::stable_hash(
                std::string_view(one.prompt).substr(0, at * block));
            if (std::find(cached.begin(), cached.end(), hash) != cached.end())
                known = at;
            else
                remember(hash);
        }
        const double left = blocks == 0
                                ? 1.0
                                : 1.0 - 0.8 * static_cast<double>(known) /
                                            static_cast<double>(blocks);
        return scaled(options.prefill, left);
    }

    void remember(std::uint64_t hash)
    {
        cached.push_back(hash);
        if (cached.size() > max_cached)
            cached.pop_front();
    }

    microseconds scaled(microseconds time, double by) const
    {
        return microseconds(static_cast<std::int64_t>(
            static_cast<double>(time.count()) * by * slow));
    }

    void step(const generation_pointer& one)
    {
        if (one->gone || down)
            return drop(one);
        if (one->prompt == crashing_prompt)
        {
            ++crashed;
            return restart();
        }
        if (serving != one->weights && !serving.empty())
            one->mixed = true;
        if (cut_after > 0 && one->done >= cut_after)
            return drop(one);
        if (one->done < one->tokens)
            emit(*one);
        if (one->done >= one->tokens)
            return end(one);
        // Decoding slows down as the batch fills.
        const auto fill_ratio = static_cast<double>(running.size()) /
                                static_cast<double>(options.slots);
        later.after(scaled(options.token, 1.0 + 0.2 * fill_ratio),
                    [this, one] { step(one); });
    }

    void emit(generation& one)
    {
        const auto word =
            "w" + std::to_string(
                      coursejunction::stable_hash(
                          one.weights + std::to_string(one.seed + one.done)) %
                      1000);
        ++one.done;
        if (!one.stream)
        {
            one.text += (one.text.empty() ? "" : " ") + word;
            return;
        }
        if (one.done == one.first + 1)
            one.reply->begin(200, "text/event-stream",
                             {{"Weights", one.weights}});
        // Written by hand: this line sets how many tokens the stand-in can do.
        one.reply->write("data: {\"id\":" + one.quoted_id +
                         ",\"index\":" + std::to_string(one.done - 1) +
                         ",\"text\":\"" + word + "\",\"weights\":\"" +
                         (serving.empty() ? one.weights : serving) + "\"}\n\n");
    }

    void end(const generation_pointer& one)
    {
        ++answers[one->weights];
        mixed += one->mixed ? 1 : 0;
        if (one->stream)
        {
            one->reply->write("data: [DONE]\n\n");
            one->reply->finish();
        }
        else
        {
            const json body{{"id", one->id},
                            {"text", one->text},
                            {"tokens", one->done},
                            {"weights", one->weights}};
            one->reply->send(200, "application/json",
                             {{"Weights", one->weights}}, body.dump());
        }
        leave(one);
    }

    void drop(const generation_pointer& one)
    {
        cancelled += one->gone ? 1 : 0;
        one->reply->cut();
        leave(one);
    }

    void leave(const generation_pointer& one)
    {
        std::erase(running, one);
        fill();
    }

    delayer& later;
    const engine_options& options;
    std::string serving;
    bool loading{false};
    bool down{false};
    double slow{1};
    int fail_loads{0};
    std::size_t cut_after{0};
    std::uint64_t token{0};
    std::map<std::string, std::string> manifests;
    std::map<std::string, std::map<std::size_t, std::string>> staged;
    std::vector<generation_pointer> running;
    std::deque<generation_pointer> waiting;
    std::deque<std::uint64_t> cached;
    std::map<std::string, std::uint64_t> answers;
    std::uint64_t orders{0};
    std::uint64_t refused{0};
    std::uint64_t loads{0};
    std::uint64_t partial{0};
    std::uint64_t mixed{0};
    std::uint64_t cut{0};
    std::uint64_t cancelled{0};
    std::uint64_t crashed{0};
};

class engine_host
{
public:
    engine_host(event_loop& loop, engine_options set)
        : later(loop), options(set)
    {
    }

    void handle(const http_request& request, const reply_pointer& reply)
    {
        const auto slash = request.path.find('/', 1);
        if (slash == std::string::npos)
            return reply->send(404, "", {}, "");
        auto& one = engines[request.path.substr(1, slash - 1)];
        if (!one)
            one = std::make_unique<engine>(later, options);
        one->handle(request.path.substr(slash), request, reply);
    }

private:
    delayer later;
    engine_options options;
    std::unordered_map<std::string, std::unique_ptr<engine>> engines;
};

} // namespace standin

int main(int argc, char** argv)
{
    cxxopts::Options options("model_engine", "stand-in of model engines");
    options.add_options()("slots", "requests that run at once",
                          cxxopts::value<std::size_t>()->default_value("16"))(
        "token-us", "time of a token",
        cxxopts::value<std::int64_t>()->default_value("5000"))(
        "prefill-us", "time of a prefill",
        cxxopts::value<std::int64_t>()->default_value("10000"))(
        "load-ms", "time of a load",
        cxxopts::value<std::int64_t>()->default_value("300"))(
        "unfenced", "do not check orders");
    const auto parsed = standin::parse(options, argc, argv);
    standin::engine_options set;
    set.slots = parsed["slots"].as<std::size_t>();
    set.token =
        std::chrono::microseconds(parsed["token-us"].as<std::int64_t>());
    set.prefill =
        std::chrono::microseconds(parsed["prefill-us"].as<std::int64_t>());
    set.load = std::chrono::milliseconds(parsed["load-ms"].as<std::int64_t>());
    set.fenced = parsed.count("unfenced") == 0;
    coursejunction::event_loop loop;
    standin::engine_host service(loop, set);
    return standin::run(loop, service, parsed["port"].as<std::uint16_t>(), 3,
                        std::size_t{40} << 20U);
}
