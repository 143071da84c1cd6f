/*! @file
 * @brief Replays loads in virtual time and prints a table: how many callers are
 * in time, late or refused, for fleets and loads of choice.
 */
#include <algorithm>
#include <cstdint>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "route/load_replay.hpp"

namespace
{

/*! @brief What a fleet ends, in requests a second for each engine: measured in
 * the replay at 1.3 times of it. */
constexpr double ended_per_engine = 12.15;

/*! @brief The same of the slow engines. */
constexpr double ended_per_slow_engine = 4.8;

struct fleet
{
    std::size_t entries{0};
    std::size_t engines{0};
};

/*! @brief Reads `5x12,14x45`.
 * @return Nothing of what is not a pair of numbers. */
std::vector<fleet> fleets(const std::string& text)
{
    std::vector<fleet> made;
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ','))
    {
        std::istringstream pair(part);
        fleet one;
        char times = 0;
        if (pair >> one.entries >> times >> one.engines && times == 'x')
            made.push_back(one);
        else
            std::cerr << "load_sweep: '" << part
                      << "' is not ENTRIESxENGINES\n";
    }
    return made;
}

void play(load_replay::load_pattern played, const fleet& size, double load,
          std::uint64_t seed)
{
    played.entries = size.entries;
    played.engines = size.engines;
    played.seed = seed;
    if (!played.entry_weights.empty())
        load_replay::use_uneven_load(played);
    const bool slow =
        played.engine.slots == load_replay::slow_engine_profile().slots;
    const double rate = (slow ? ended_per_slow_engine : ended_per_engine) *
                        static_cast<double>(size.engines) * load;
    played.rate = [rate](double) { return rate; };
    const auto result = load_replay::simulator(played).run();
    double worst = 1;
    double best = 0;
    for (const auto& [entry, one] : result.entries)
    {
        worst = std::min(worst, one.in_time_fraction());
        best = std::max(best, one.in_time_fraction());
    }
    std::cout << size.entries << ',' << size.engines << ',' << load << ','
              << seed << ',' << result.all.in_time_fraction() << ','
              << result.all.late / result.all.requests << ','
              << result.all.refused / result.all.requests << ',' << worst << ','
              << best;
    for (const auto& [kind, one] : result.kinds)
        std::cout << ',' << one.in_time_fraction();
    std::cout << '\n';
}

} // namespace

int main(int count, char** words)
{
    cxxopts::Options options("load_sweep", "Replays loads in virtual time");
    auto add = options.add_options();
    add("fleets", "ENTRIESxENGINES, separated by commas",
        cxxopts::value<std::string>()->default_value("5x12,14x45"));
    add("loads", "times what the engines can end",
        cxxopts::value<std::vector<double>>()->default_value("0.85,1.0,1.3,2"));
    add("seeds", "seeds of each",
        cxxopts::value<std::uint64_t>()->default_value("3"));
    add("seconds", "length of a replay",
        cxxopts::value<double>()->default_value("20"));
    add("halls", "halls of the fleet",
        cxxopts::value<std::size_t>()->default_value("3"));
    add("slow", "engines of 8 places in place of 16");
    add("uneven", "entries with 0.5 to 1.5 of the mean load");
    add("untold", "entries don't tell each other what they are asked for");
    add("far", "ms that an engine of another hall costs",
        cxxopts::value<double>()->default_value("60"));
    add("share", "ms of the preference for the own share",
        cxxopts::value<double>()->default_value("150"));
    add("own", "part of full pressure from which only the own share is filled",
        cxxopts::value<double>()->default_value("0.5"));
    add("help", "this text");
    try
    {
        const auto chosen = options.parse(count, words);
        if (chosen.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        std::cout << "entries,engines,load,seed,in_time,late,refused,"
                     "worst_entry,best_entry,long,middle,short\n";
        load_replay::load_pattern played;
        played.halls = chosen["halls"].as<std::size_t>();
        played.seconds = chosen["seconds"].as<double>();
        played.shares_rates = chosen.count("untold") == 0;
        played.weights.other_hall_ms = chosen["far"].as<double>();
        played.weights.unowned_ms = chosen["share"].as<double>();
        played.options.admission.own_share_threshold =
            chosen["own"].as<double>();
        if (chosen.count("slow") > 0)
            load_replay::use_slow_engines(played);
        if (chosen.count("uneven") > 0)
            played.entry_weights = {1};
        for (const auto& size : fleets(chosen["fleets"].as<std::string>()))
            for (const auto load : chosen["loads"].as<std::vector<double>>())
                for (std::uint64_t seed = 1;
                     seed <= chosen["seeds"].as<std::uint64_t>(); ++seed)
                    play(played, size, load, seed);
    }
    catch (const cxxopts::exceptions::exception& fault)
    {
        std::cerr << "load_sweep: " << fault.what() << '\n';
        return 2;
    }
    return 0;
}
