#include "coursejunction/daemon/run_daemon.hpp"

#include <iostream>

#include <cxxopts.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/entry.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/side.hpp"
#include "coursejunction/settings/node_settings.hpp"

namespace coursejunction
{

namespace internal
{

int exit_code(daemon_exit value)
{
    return static_cast<int>(value);
}

int run_node(node_settings settings, chunk_filter filter)
{
    log::open(settings.instance.value(), settings.log_level);
    event_loop loop;
    const auto kind = settings.kind;
    auto created = node::create(loop, std::move(settings));
    if (!created)
    {
        std::cerr << "coursejunctiond: " << created.error().message << "\n";
        return exit_code(daemon_exit::ports_unavailable);
    }
    if (kind == role::entry)
    {
        const entry running(*created.value());
        loop.run();
    }
    else
    {
        const side running(*created.value(), std::move(filter));
        loop.run();
    }
    return exit_code(daemon_exit::stopped);
}

} // namespace internal

int run_daemon(int argc, char** argv, chunk_filter filter)
{
    cxxopts::Options options(
        "coursejunctiond", "Distributes model weights and routes requests. The "
                           "settings choose the role: entry or side.");
    options.add_options()("settings", "settings file (INI)",
                          cxxopts::value<std::string>())(
        "check", "check the settings and exit")("version", "print the version")(
        "help", "print this help");
    options.parse_positional("settings");
    options.positional_help("SETTINGS");
    try
    {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help() << "\nExit codes: 0 stopped or checked,"
                      << " 1 ports cannot be opened, 2 wrong settings.\n";
            return internal::exit_code(daemon_exit::stopped);
        }
        if (parsed.count("version") > 0)
        {
            std::cout << "coursejunctiond " << package_version << " protocol "
                      << static_cast<int>(protocol_version) << "\n";
            return internal::exit_code(daemon_exit::stopped);
        }
        if (parsed.count("settings") == 0)
        {
            std::cerr << "coursejunctiond: no settings file given\n";
            return internal::exit_code(daemon_exit::invalid_settings);
        }
        auto settings =
            node_settings::load(parsed["settings"].as<std::string>());
        if (!settings)
        {
            std::cerr << "coursejunctiond: " << settings.error().message
                      << "\n";
            return internal::exit_code(daemon_exit::invalid_settings);
        }
        if (parsed.count("check") > 0)
            return internal::exit_code(daemon_exit::stopped);
        return internal::run_node(std::move(settings.value()),
                                  std::move(filter));
    }
    catch (const cxxopts::exceptions::exception& caught)
    {
        std::cerr << "coursejunctiond: " << caught.what() << "\n";
        return internal::exit_code(daemon_exit::invalid_settings);
    }
}

} // namespace coursejunction
