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
constexpr std::size_t short_hash_length = 12;

/*! @brief The commands of the tool, one for each public method. */
class command_runner
{
public:
    command_runner(const cli_options& chosen, std::ostream& results,
                   std::ostream& errors)
        : options(chosen), client(chosen.entry, chosen.token), out(results),
          err(errors)
    {
    }

    cli_exit apply()
    {
        std::ifstream file(options.file);
        if (!file)
            return fail(cli_exit::usage, options.file + ": cannot be read");
        std::stringstream text;
        text << file.rdbuf();
        auto spec = json::parse(text.str(), nullptr, false);
        if (!spec.is_object() || !spec.contains("name") ||
            !spec["name"].is_string())
            return fail(cli_exit::usage,
                        options.file + ": must be a JSON object with a name");
        return create_or_replace(std::move(spec));
    }

    cli_exit get()
    {
        const auto response = client.read(deployment_path());
        if (!response.ok())
            return fail(response);
        print_specs(json::parse(response.body));
        return cli_exit::done;
    }

    cli_exit watch()
    {
        std::uint64_t last_revision =
            std::strtoull(options.revision.c_str(), nullptr, 10);
        while (true)
        {
            const auto response =
                client.call("GET",
                            "/v1/deployments?watch=true&revision=" +
                                std::to_string(last_revision),
                            {}, watch_timeout);
            if (!response.ok())
                return fail(response);
            const auto body = json::parse(response.body);
            const auto number = body.at("revision").get<std::uint64_t>();
            if (number <= last_revision)
                continue;
            last_revision = number;
            print_specs(body);
            out << std::flush;
            if (!options.follow)
                return cli_exit::done;
        }
    }

    cli_exit status()
    {
        if (options.follow || options.wait)
            return wait_until_converged(options.name);
        const auto response = client.read(status_path(options.name));
        if (!response.ok())
            return fail(response);
        const auto body = json::parse(response.body);
        if (options.json)
            out << body.dump(2) << "\n";
        else
            print_status(body);
        return cli_exit::done;
    }

    cli_exit remove()
    {
        json spec;
        if (const auto code = read_deployment(spec); code != cli_exit::done)
            return code;
        const auto number =
            options.revision.empty()
                ? std::to_string(spec.at("revision").get<std::uint64_t>())
                : options.revision;
        return print_response(
            client.call("DELETE", deployment_path() + "?revision=" + number));
    }

    cli_exit pause(bool paused)
    {
        return change([paused](json& spec) { spec["paused"] = paused; });
    }

    /*! @brief Replaces the version by the previous one. */
    cli_exit abort()
    {
        json spec;
        if (const auto code = read_deployment(spec); code != cli_exit::done)
            return code;
        if (!spec.contains("previous"))
            return fail(cli_exit::not_found,
                        "the deployment has no previous version");
        spec["version"] = spec["previous"];
        return replace(spec);
    }

    cli_exit dump()
    {
        const auto response = client.call("GET", "/dump");
        if (!response.ok())
            return fail(response);
        out << json::parse(response.body).dump(2) << "\n";
        return cli_exit::done;
    }

    cli_exit write()
    {
        return print_response(client.call("GET", "/v1/writes/" + options.name));
    }

    cli_exit quarantine()
    {
        const auto response = client.call("GET", "/v1/quarantine");
        if (!response.ok())
            return fail(response);
        const auto list = json::parse(response.body);
        if (options.json)
        {
            out << list.dump(2) << "\n";
            return cli_exit::done;
        }
        out << std::left << std::setw(34) << "CONTENT" << std::setw(13)
            << "SUBJECT" << std::setw(13) << "STANDING" << std::setw(6)
            << "ENDS"
            << "LEFT\n";
        constexpr std::int64_t second = 1000;
        for (const auto& item : list)
            out << std::setw(34) << item.at("content").get<std::string>()
                << std::setw(13) << item.at("subject").get<std::string>()
                << std::setw(13) << item.at("standing").get<std::string>()
                << std::setw(6) << item.at("ends").get<std::size_t>()
                << item.at("left_ms").get<std::int64_t>() / second << " s\n";
        return cli_exit::done;
    }

    cli_exit lift()
    {
        return print_response(
            client.call("DELETE", "/v1/quarantine/" + options.name));
    }

    cli_exit leave()
    {
        return print_response(client.call("POST", "/v1/leave"));
    }

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

    cli_exit fail(cli_exit code, const std::string& message)
    {
        err << "coursejunctionctl: " << message << "\n";
        return code;
    }

    cli_exit fail(const api_response& response)
    {
        return fail(response.code, response.message);
    }

    cli_exit print_response(const api_response& response)
    {
        if (!response.ok())
            return fail(response);
        out << json::parse(response.body).dump(options.json ? 2 : -1) << "\n";
        return cli_exit::done;
    }

    cli_exit read_deployment(json& spec)
    {
        const auto response = client.read(deployment_path());
        if (!response.ok())
            return fail(response);
        spec = json::parse(response.body);
        return cli_exit::done;
    }

    cli_exit replace(const json& spec)
    {
        const auto name = spec.at("name").get<std::string>();
        return report_accepted(
            client.call("PUT", "/v1/deployments/" + name, spec.dump()), name);
    }

    cli_exit change(const std::function<void(json&)>& edit)
    {
        json spec;
        if (const auto code = read_deployment(spec); code != cli_exit::done)
            return code;
        edit(spec);
        return replace(spec);
    }

    /*! @brief Creates or replaces a deployment. A replacement is based on the
     * revision in the file or, without one, on the current revision. */
    cli_exit create_or_replace(json spec)
    {
        const auto name = spec["name"].get<std::string>();
        const auto existing = client.read("/v1/deployments/" + name);
        if (existing.code == cli_exit::not_found)
            return report_accepted(
                client.call("POST", "/v1/deployments", spec.dump()), name);
        if (!existing.ok())
            return fail(existing);
        if (!spec.contains("revision"))
            spec["revision"] = json::parse(existing.body).at("revision");
        return replace(spec);
    }

    /*! @brief Prints the accepted change and, with `--wait`, waits until it has
     * converged. */
    cli_exit report_accepted(const api_response& response,
                             const std::string& name)
    {
        if (!response.ok())
            return fail(response);
        const auto body = json::parse(response.body);
        if (options.json)
            out << body.dump(2) << "\n";
        else
            out << name << " accepted at revision " << body.at("revision")
                << "\n";
        out << std::flush;
        return options.wait ? wait_until_converged(name) : cli_exit::done;
    }

    /*! @brief Prints progress until the deployment, or all of them, have
     * converged. Failed calls are repeated until the timeout. */
    cli_exit wait_until_converged(const std::string& name)
    {
        rollout_progress progress;
        const auto until = std::chrono::steady_clock::now() + options.timeout;
        while (std::chrono::steady_clock::now() < until)
        {
            const auto response = client.call("GET", status_path(name));
            if (response.code == cli_exit::not_found ||
                response.code == cli_exit::usage)
                return fail(response);
            if (response.ok() &&
                show_progress(json::parse(response.body), progress))
                return cli_exit::done;
            std::this_thread::sleep_for(poll_interval);
        }
        return fail(cli_exit::timed_out, "not converged within the timeout");
    }

    /*! @brief Prints one progress line and returns whether all deployments have
     * converged. */
    bool show_progress(const json& body, rollout_progress& progress)
    {
        rollout_sample total;
        bool all_converged = true;
        for (const auto& item : body.at("items"))
        {
            total.wanted += item.at("wanted").get<std::size_t>();
            total.serving += item.at("serving").get<std::size_t>();
            total.bytes_done += item.at("bytes_done").get<std::uint64_t>();
            total.bytes_total += item.at("bytes_total").get<std::uint64_t>();
            total.origin_bytes += item.at("origin_bytes").get<std::uint64_t>();
            all_converged = all_converged && item.at("converged").get<bool>();
        }
        progress.add_sample(
            total, std::chrono::time_point_cast<std::chrono::microseconds>(
                       std::chrono::steady_clock::now()));
        err << "\r" << progress.line() << (all_converged ? "\n" : "")
            << std::flush;
        return all_converged;
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
        for (const auto& item : body.at("items"))
            print_spec(item);
    }

    void print_spec(const json& spec)
    {
        std::string halls;
        for (const auto& placed : spec.at("placements"))
            halls += (halls.empty() ? "" : " ") +
                     placed.at("hall").get<std::string>() + "=" +
                     std::to_string(placed.at("count").get<std::size_t>());
        out << std::left << std::setw(20) << spec.at("name").get<std::string>()
            << std::setw(16) << spec.at("model").get<std::string>()
            << std::setw(14)
            << spec.at("version").get<std::string>().substr(0,
                                                            short_hash_length)
            << std::setw(10) << spec.at("revision").get<std::uint64_t>()
            << halls << (spec.at("paused").get<bool>() ? " (paused)" : "")
            << "\n";
    }

    void print_status(const json& body)
    {
        out << std::left << std::setw(20) << "NAME" << std::setw(16) << "HALL"
            << std::setw(8) << "WANTED" << std::setw(9) << "SERVING"
            << "PHASES\n";
        for (const auto& item : body.at("items"))
        {
            for (const auto& hall : item.at("halls"))
                print_hall(item.at("name").get<std::string>(), hall);
            for (const auto& silent : item.at("silent_halls"))
                out << item.at("name").get<std::string>() << ": hall "
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
        for (const auto& replica : hall.at("troubled"))
            out << "  " << replica.at("instance").get<std::string>() << " "
                << replica.at("phase").get<std::string>() << ": "
                << replica.at("reason").get<std::string>() << "\n";
    }

    const cli_options& options;
    api_client client;
    std::ostream& out;
    std::ostream& err;
};

struct command
{
    std::function<cli_exit(command_runner&)> run;
    const char* help;
    bool needs_name;
};

const std::map<std::string, command>& commands()
{
    static const std::map<std::string, command> all{
        {"apply",
         {[](command_runner& runner) { return runner.apply(); },
          "apply -f FILE [--wait]    create or replace a deployment", false}},
        {"get",
         {[](command_runner& runner) { return runner.get(); },
          "get [NAME]                show deployments", false}},
        {"watch",
         {[](command_runner& runner) { return runner.watch(); },
          "watch [--revision N] [--follow]  wait for changes after N", false}},
        {"status",
         {[](command_runner& runner) { return runner.status(); },
          "status [NAME] [--follow]  replicas by hall, or live progress",
          false}},
        {"pause",
         {[](command_runner& runner) { return runner.pause(true); },
          "pause NAME                close no further replicas", true}},
        {"resume",
         {[](command_runner& runner) { return runner.pause(false); },
          "resume NAME               go on with a paused rollout", true}},
        {"abort",
         {[](command_runner& runner) { return runner.abort(); },
          "abort NAME [--wait]       go back to the version before", true}},
        {"delete",
         {[](command_runner& runner) { return runner.remove(); },
          "delete NAME [--revision N]  remove a deployment", true}},
        {"write",
         {[](command_runner& runner) { return runner.write(); },
          "write ID                  what became of a write", true}},
        {"leave",
         {[](command_runner& runner) { return runner.leave(); },
          "leave                     planned stop of the entry", false}},
        {"quarantine",
         {[](command_runner& runner) { return runner.quarantine(); },
          "quarantine                requests that crash upstreams", false}},
        {"lift",
         {[](command_runner& runner) { return runner.lift(); },
          "lift CONTENT              let a quarantined request run again",
          true}},
        {"dump",
         {[](command_runner& runner) { return runner.dump(); },
          "dump                      whole state of the process", false}},
        {"version",
         {[](command_runner& runner) { return runner.version(); },
          "version                   print the version", false}}};
    return all;
}

} // namespace internal

std::string command_help()
{
    std::string text = "\nCommands:\n";
    for (const auto& [name, entry] : internal::commands())
        text += std::string("  ") + entry.help + "\n";
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
        err << "coursejunctionctl: unknown command '" << command << "'\n";
        return cli_exit::usage;
    }
    if (found->second.needs_name && options.name.empty())
    {
        err << "coursejunctionctl: " << command << " needs a name\n";
        return cli_exit::usage;
    }
    internal::command_runner runner(options, out, err);
    try
    {
        return found->second.run(runner);
    }
    catch (const nlohmann::json::exception& caught)
    {
        err << "coursejunctionctl: cannot understand the response: "
            << caught.what() << "\n";
        return cli_exit::failed;
    }
}

} // namespace coursejunction
