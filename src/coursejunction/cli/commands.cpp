#include "coursejunction/cli/commands.hpp"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <ostream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "coursejunction/cli/rollout_progress.hpp"
#include "coursejunction/daemon/run_daemon.hpp"
#include "coursejunction/wire/frame.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr std::chrono::milliseconds poll_interval{500};
constexpr milliseconds watch_timeout{40'000};
constexpr std::size_t short_hash = 12;

/*! @brief One run of the tool. */
class session
{
public:
    session(const cli_options& from, std::ostream& answers,
            std::ostream& faults)
        : options(from), client(from.entry, from.token), out(answers),
          err(faults)
    {
    }

    cli_exit apply()
    {
        std::ifstream file(options.file);
        if (!file)
            return fault(cli_exit::usage, options.file + ": cannot be read");
        std::stringstream text;
        text << file.rdbuf();
        auto spec = json::parse(text.str(), nullptr, false);
        if (!spec.is_object() || !spec.contains("name") ||
            !spec["name"].is_string())
            return fault(cli_exit::usage,
                         options.file + ": no JSON object with a name");
        return put(std::move(spec));
    }

    cli_exit get()
    {
        const auto answer = client.call("GET", deployment_path());
        if (!answer.ok())
            return fault(answer);
        print_specs(json::parse(answer.body));
        return cli_exit::done;
    }

    cli_exit watch()
    {
        std::uint64_t seen =
            std::strtoull(options.revision.c_str(), nullptr, 10);
        while (true)
        {
            const auto answer = client.call(
                "GET",
                "/v1/deployments?watch=true&revision=" + std::to_string(seen),
                {}, watch_timeout);
            if (!answer.ok())
                return fault(answer);
            const auto body = json::parse(answer.body);
            const auto number = body.at("revision").get<std::uint64_t>();
            if (number <= seen)
                continue;
            seen = number;
            print_specs(body);
            out << std::flush;
            if (!options.follow)
                return cli_exit::done;
        }
    }

    cli_exit status()
    {
        if (options.follow || options.wait)
            return wait_converged(options.name);
        const auto answer = client.call("GET", status_path(options.name));
        if (!answer.ok())
            return fault(answer);
        const auto body = json::parse(answer.body);
        if (options.json)
            out << body.dump(2) << "\n";
        else
            print_status(body);
        return cli_exit::done;
    }

    cli_exit remove()
    {
        json spec;
        if (const auto code = read(spec); code != cli_exit::done)
            return code;
        const auto number =
            options.revision.empty()
                ? std::to_string(spec.at("revision").get<std::uint64_t>())
                : options.revision;
        return say(
            client.call("DELETE", deployment_path() + "?revision=" + number));
    }

    cli_exit pause(bool paused)
    {
        return change([paused](json& spec) { spec["paused"] = paused; });
    }

    /*! @brief Goes back to the version before. */
    cli_exit abort()
    {
        json spec;
        if (const auto code = read(spec); code != cli_exit::done)
            return code;
        if (!spec.contains("previous"))
            return fault(cli_exit::not_found, "there is no version before");
        spec["version"] = spec["previous"];
        return replace(spec);
    }

    cli_exit dump()
    {
        const auto answer = client.call("GET", "/dump");
        if (!answer.ok())
            return fault(answer);
        out << json::parse(answer.body).dump(2) << "\n";
        return cli_exit::done;
    }

    cli_exit write()
    {
        return say(client.call("GET", "/v1/writes/" + options.name));
    }

    cli_exit quarantine()
    {
        const auto answer = client.call("GET", "/v1/quarantine");
        if (!answer.ok())
            return fault(answer);
        const auto list = json::parse(answer.body);
        if (options.json)
        {
            out << list.dump(2) << "\n";
            return cli_exit::done;
        }
        out << std::left << std::setw(34) << "CONTENT" << std::setw(13)
            << "STANDING" << std::setw(6) << "ENDS"
            << "LEFT\n";
        constexpr std::int64_t second = 1000;
        for (const auto& one : list)
            out << std::setw(34) << one.at("content").get<std::string>()
                << std::setw(13) << one.at("standing").get<std::string>()
                << std::setw(6) << one.at("ends").get<std::size_t>()
                << one.at("left_ms").get<std::int64_t>() / second << " s\n";
        return cli_exit::done;
    }

    cli_exit lift()
    {
        return say(client.call("DELETE", "/v1/quarantine/" + options.name));
    }

    cli_exit leave() { return say(client.call("POST", "/v1/leave")); }

    cli_exit version()
    {
        out << "coursejunctionctl " << package_version << " protocol "
            << static_cast<int>(protocol_version) << "\n";
        return cli_exit::done;
    }

private:
    std::string deployment_path() const
    {
        return options.name.empty() ? "/v1/deployments"
                                    : "/v1/deployments/" + options.name;
    }

    static std::string status_path(const std::string& name)
    {
        return name.empty() ? "/v1/status" : "/v1/status/" + name;
    }

    cli_exit fault(cli_exit code, const std::string& message)
    {
        err << "coursejunctionctl: " << message << "\n";
        return code;
    }

    cli_exit fault(const api_answer& answer)
    {
        return fault(answer.code, answer.message);
    }

    cli_exit say(const api_answer& answer)
    {
        if (!answer.ok())
            return fault(answer);
        out << json::parse(answer.body).dump(options.json ? 2 : -1) << "\n";
        return cli_exit::done;
    }

    cli_exit read(json& into)
    {
        const auto answer = client.call("GET", deployment_path());
        if (!answer.ok())
            return fault(answer);
        into = json::parse(answer.body);
        return cli_exit::done;
    }

    cli_exit replace(const json& spec)
    {
        const auto name = spec.at("name").get<std::string>();
        return accepted(
            client.call("PUT", "/v1/deployments/" + name, spec.dump()), name);
    }

    cli_exit change(const std::function<void(json&)>& edit)
    {
        json spec;
        if (const auto code = read(spec); code != cli_exit::done)
            return code;
        edit(spec);
        return replace(spec);
    }

    /*! @brief Creates or replaces. A revision in the file is the one that the
     * operator read; without one, the current one is read here. */
    cli_exit put(json spec)
    {
        const auto name = spec["name"].get<std::string>();
        const auto known = client.call("GET", "/v1/deployments/" + name);
        if (known.code == cli_exit::not_found)
            return accepted(client.call("POST", "/v1/deployments", spec.dump()),
                            name);
        if (!known.ok())
            return fault(known);
        if (!spec.contains("revision"))
            spec["revision"] = json::parse(known.body).at("revision");
        return replace(spec);
    }

    cli_exit accepted(const api_answer& answer, const std::string& name)
    {
        if (!answer.ok())
            return fault(answer);
        const auto body = json::parse(answer.body);
        if (options.json)
            out << body.dump(2) << "\n";
        else
            out << name << " accepted at revision " << body.at("revision")
                << "\n";
        out << std::flush;
        return options.wait ? wait_converged(name) : cli_exit::done;
    }

    cli_exit wait_converged(const std::string& name)
    {
        rollout_progress progress;
        const auto until = std::chrono::steady_clock::now() + options.timeout;
        while (std::chrono::steady_clock::now() < until)
        {
            const auto answer = client.call("GET", status_path(name));
            if (answer.code == cli_exit::not_found ||
                answer.code == cli_exit::usage)
                return fault(answer);
            if (answer.ok() &&
                show_progress(json::parse(answer.body), progress))
                return cli_exit::done;
            std::this_thread::sleep_for(poll_interval);
        }
        return fault(cli_exit::timed_out, "not converged in time");
    }

    /*! @brief Shows one line and tells whether all have converged. */
    bool show_progress(const json& body, rollout_progress& progress)
    {
        rollout_sample sum;
        bool all = true;
        for (const auto& one : body.at("items"))
        {
            sum.wanted += one.at("wanted").get<std::size_t>();
            sum.serving += one.at("serving").get<std::size_t>();
            sum.bytes_done += one.at("bytes_done").get<std::uint64_t>();
            sum.bytes_total += one.at("bytes_total").get<std::uint64_t>();
            sum.origin_bytes += one.at("origin_bytes").get<std::uint64_t>();
            all = all && one.at("converged").get<bool>();
        }
        progress.add(sum,
                     std::chrono::time_point_cast<std::chrono::microseconds>(
                         std::chrono::steady_clock::now()));
        err << "\r" << progress.line() << (all ? "\n" : "") << std::flush;
        return all;
    }

    void print_specs(const json& body)
    {
        if (options.json)
        {
            out << body.dump(2) << "\n";
            return;
        }
        out << std::left << std::setw(20) << "NAME" << std::setw(16) << "MODEL"
            << std::setw(14) << "VERSION" << std::setw(10) << "REVISION"
            << "HALLS\n";
        if (!body.contains("items"))
            return print_spec(body);
        for (const auto& one : body.at("items"))
            print_spec(one);
    }

    void print_spec(const json& one)
    {
        std::string halls;
        for (const auto& where : one.at("placements"))
            halls += (halls.empty() ? "" : " ") +
                     where.at("hall").get<std::string>() + "=" +
                     std::to_string(where.at("count").get<std::size_t>());
        out << std::left << std::setw(20) << one.at("name").get<std::string>()
            << std::setw(16) << one.at("model").get<std::string>()
            << std::setw(14)
            << one.at("version").get<std::string>().substr(0, short_hash)
            << std::setw(10) << one.at("revision").get<std::uint64_t>() << halls
            << (one.at("paused").get<bool>() ? " (paused)" : "") << "\n";
    }

    void print_status(const json& body)
    {
        out << std::left << std::setw(20) << "NAME" << std::setw(16) << "HALL"
            << std::setw(8) << "WANTED" << std::setw(9) << "SERVING"
            << "PHASES\n";
        for (const auto& one : body.at("items"))
        {
            for (const auto& hall : one.at("halls"))
                print_hall(one.at("name").get<std::string>(), hall);
            for (const auto& silent : one.at("silent_halls"))
                out << one.at("name").get<std::string>() << ": hall "
                    << silent.get<std::string>() << " does not answer\n";
        }
    }

    void print_hall(const std::string& name, const json& hall)
    {
        std::string phases;
        for (const auto& [phase, count] : hall.at("phases").items())
            phases += (phases.empty() ? "" : " ") + phase + "=" +
                      std::to_string(count.get<int>());
        out << std::left << std::setw(20) << name << std::setw(16)
            << hall.at("hall").get<std::string>() << std::setw(8)
            << hall.at("wanted").get<std::size_t>() << std::setw(9)
            << hall.at("serving").get<std::size_t>() << phases << "\n";
        for (const auto& one : hall.at("troubled"))
            out << "  " << one.at("instance").get<std::string>() << " "
                << one.at("phase").get<std::string>() << ": "
                << one.at("reason").get<std::string>() << "\n";
    }

    const cli_options& options;
    api_client client;
    std::ostream& out;
    std::ostream& err;
};

struct command
{
    std::function<cli_exit(session&)> run;
    const char* help;
    bool needs_name;
};

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> all{
        {"apply",
         {[](session& one) { return one.apply(); },
          "apply -f FILE [--wait]    create or replace a deployment", false}},
        {"get",
         {[](session& one) { return one.get(); },
          "get [NAME]                show deployments", false}},
        {"watch",
         {[](session& one) { return one.watch(); },
          "watch [--revision N] [--follow]  wait for changes after N", false}},
        {"status",
         {[](session& one) { return one.status(); },
          "status [NAME] [--follow]  replicas by hall, or live progress",
          false}},
        {"pause",
         {[](session& one) { return one.pause(true); },
          "pause NAME                close no further replicas", true}},
        {"resume",
         {[](session& one) { return one.pause(false); },
          "resume NAME               go on with a paused rollout", true}},
        {"abort",
         {[](session& one) { return one.abort(); },
          "abort NAME [--wait]       go back to the version before", true}},
        {"delete",
         {[](session& one) { return one.remove(); },
          "delete NAME [--revision N]  remove a deployment", true}},
        {"write",
         {[](session& one) { return one.write(); },
          "write ID                  what became of a write", true}},
        {"leave",
         {[](session& one) { return one.leave(); },
          "leave                     planned stop of the entry", false}},
        {"quarantine",
         {[](session& one) { return one.quarantine(); },
          "quarantine                requests that crash upstreams", false}},
        {"lift",
         {[](session& one) { return one.lift(); },
          "lift CONTENT              let a quarantined request run again",
          true}},
        {"dump",
         {[](session& one) { return one.dump(); },
          "dump                      whole state of the process", false}},
        {"version",
         {[](session& one) { return one.version(); },
          "version                   print the version", false}}};
    return all;
}

} // namespace internal

std::string command_help()
{
    std::string text = "\nCommands:\n";
    for (const auto& [name, one] : internal::commands())
        text += std::string("  ") + one.help + "\n";
    text += "\nExit codes: 0 done, 1 failed, 2 wrong usage or input, "
            "3 not found, 4 conflict,\n5 nobody answers and nothing was "
            "changed, 6 outcome unknown, 7 wait timed out.\n";
    return text;
}

cli_exit run_command(const std::string& command, const cli_options& options,
                     std::ostream& out, std::ostream& err)
{
    const auto found = internal::commands().find(command);
    if (found == internal::commands().end())
    {
        err << "coursejunctionctl: no command '" << command << "'\n";
        return cli_exit::usage;
    }
    if (found->second.needs_name && options.name.empty())
    {
        err << "coursejunctionctl: " << command << " needs a name\n";
        return cli_exit::usage;
    }
    internal::session one(options, out, err);
    try
    {
        return found->second.run(one);
    }
    catch (const nlohmann::json::exception& caught)
    {
        err << "coursejunctionctl: the answer makes no sense: " << caught.what()
            << "\n";
        return cli_exit::failed;
    }
}

} // namespace coursejunction
