#include <cstdlib>
#include <iostream>
#include <string>

#include <cxxopts.hpp>

#include "coursejunction/cli/commands.hpp"

namespace
{

std::string from_environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? std::string{} : std::string(value);
}

} // namespace

int main(int argc, char** argv)
{
    using coursejunction::cli_exit;
    cxxopts::Options options("coursejunctionctl",
                             "Declares which model versions run where.");
    options.add_options()("command", "what to do",
                          cxxopts::value<std::string>())(
        "name", "deployment or write",
        cxxopts::value<std::string>()->default_value(""))(
        "entry", "URL of an entry (or COURSEJUNCTION_ENTRY)",
        cxxopts::value<std::string>()->default_value(
            from_environment("COURSEJUNCTION_ENTRY")))(
        "token", "operators' token (or COURSEJUNCTION_TOKEN)",
        cxxopts::value<std::string>()->default_value(
            from_environment("COURSEJUNCTION_TOKEN")))(
        "f,file", "deployment as JSON",
        cxxopts::value<std::string>()->default_value(""))(
        "o,output", "table or json",
        cxxopts::value<std::string>()->default_value("table"))(
        "revision", "revision that was read",
        cxxopts::value<std::string>()->default_value(""))(
        "wait", "wait until all replicas serve")("follow", "go on showing")(
        "timeout", "seconds to wait",
        cxxopts::value<std::int64_t>()->default_value("600"))(
        "version", "print the version")("help", "print this help");
    options.parse_positional({"command", "name"});
    options.positional_help("COMMAND [NAME]");
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 ||
            (parsed.count("command") == 0 && parsed.count("version") == 0))
        {
            std::cout << options.help() << coursejunction::command_help();
            return static_cast<int>(parsed.count("help") > 0 ? cli_exit::done
                                                             : cli_exit::usage);
        }
        coursejunction::cli_options chosen;
        chosen.entry = parsed["entry"].as<std::string>();
        chosen.token = parsed["token"].as<std::string>();
        chosen.name = parsed["name"].as<std::string>();
        chosen.file = parsed["file"].as<std::string>();
        chosen.revision = parsed["revision"].as<std::string>();
        chosen.json = parsed["output"].as<std::string>() == "json";
        chosen.wait = parsed.count("wait") > 0;
        chosen.follow = parsed.count("follow") > 0;
        chosen.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::seconds(parsed["timeout"].as<std::int64_t>()));
        const auto command = parsed.count("version") > 0
                                 ? std::string("version")
                                 : parsed["command"].as<std::string>();
        return static_cast<int>(
            coursejunction::run_command(command, chosen, std::cout, std::cerr));
    }
    catch (const cxxopts::exceptions::exception& caught)
    {
        std::cerr << "coursejunctionctl: " << caught.what() << "\n";
        return static_cast<int>(cli_exit::usage);
    }
}
