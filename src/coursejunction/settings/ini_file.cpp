#include "coursejunction/settings/ini_file.hpp"

#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

#include <ini.h>

namespace coursejunction
{

namespace internal
{

struct unit
{
    std::string_view name;
    double factor;
};

constexpr std::array duration_units{unit{"ms", 1}, unit{"s", 1000},
                                    unit{"min", 60'000}, unit{"h", 3'600'000}};
constexpr std::array size_units{
    unit{"B", 1}, unit{"KiB", 1024}, unit{"MiB", 1024.0 * 1024},
    unit{"GiB", 1024.0 * 1024 * 1024}, unit{"Mbit", 1e6 / 8}};

struct quantity
{
    double amount;
    std::string_view unit;
};

std::optional<quantity> split(std::string_view text)
{
    const auto end = text.find_first_not_of("0123456789.");
    if (end == 0 || end == std::string_view::npos)
        return std::nullopt;
    double amount = 0;
    const auto digits = text.substr(0, end);
    const auto [stop, fault] =
        std::from_chars(digits.data(), digits.data() + digits.size(), amount);
    if (fault != std::errc{} || stop != digits.data() + digits.size())
        return std::nullopt;
    auto name = text.substr(end);
    while (!name.empty() && name.front() == ' ')
        name.remove_prefix(1);
    return quantity{amount, name};
}

template <typename Units>
std::optional<double> scaled(const Units& units, const quantity& value)
{
    for (const auto& one : units)
    {
        if (one.name == value.unit)
            return value.amount * one.factor;
    }
    return std::nullopt;
}

} // namespace internal

result<ini_file> ini_file::load(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return failure(error_kind::invalid, path + ": cannot be read");
    std::stringstream text;
    text << file.rdbuf();
    return parse(path, text.str());
}

result<ini_file> ini_file::parse(const std::string& name,
                                 const std::string& text)
{
    ini_file parsed;
    parsed.name = name;
    const auto handler = [](void* user, const char* section, const char* key,
                            const char* value) -> int
    {
        auto& into = *static_cast<ini_file*>(user);
        into.values[{section, key}] = value;
        return 1;
    };
    const int line = ini_parse_string(text.c_str(), handler, &parsed);
    if (line != 0)
        return failure(error_kind::invalid,
                       name + ": line " + std::to_string(line) + " is not INI");
    return parsed;
}

const std::string* ini_file::find(std::string_view section,
                                  std::string_view key)
{
    key_type full{std::string(section), std::string(key)};
    known.insert(full);
    const auto found = values.find(full);
    return found == values.end() ? nullptr : &found->second;
}

void ini_file::fault(std::string_view section, std::string_view key,
                     std::string_view what)
{
    if (!first_fault.empty())
        return;
    first_fault = name + ": [" + std::string(section) + "] " +
                  std::string(key) + ": " + std::string(what);
}

void ini_file::missing(std::string_view section, std::string_view key)
{
    fault(section, key, "value is missing");
}

std::string ini_file::text(std::string_view section, std::string_view key,
                           std::optional<std::string> fallback)
{
    const auto* found = find(section, key);
    if (found != nullptr && !found->empty())
        return *found;
    if (!fallback)
        missing(section, key);
    return fallback.value_or("");
}

std::int64_t ini_file::number(std::string_view section, std::string_view key,
                              std::optional<std::int64_t> fallback,
                              std::int64_t low, std::int64_t high)
{
    const auto* found = find(section, key);
    if (found == nullptr)
    {
        if (!fallback)
            missing(section, key);
        return fallback.value_or(low);
    }
    std::int64_t value = 0;
    const auto* end = found->data() + found->size();
    const auto [stop, fault_code] = std::from_chars(found->data(), end, value);
    if (fault_code != std::errc{} || stop != end)
        fault(section, key, "'" + *found + "' is not a whole number");
    else if (value < low || value > high)
        fault(section, key,
              "must lie between " + std::to_string(low) + " and " +
                  std::to_string(high));
    return value;
}

milliseconds ini_file::duration(std::string_view section, std::string_view key,
                                std::optional<milliseconds> fallback)
{
    const auto* found = find(section, key);
    if (found == nullptr)
    {
        if (!fallback)
            missing(section, key);
        return fallback.value_or(milliseconds(0));
    }
    const auto value = internal::split(*found);
    const auto amount = value
                            ? internal::scaled(internal::duration_units, *value)
                            : std::nullopt;
    if (!amount)
        fault(section, key,
              "'" + *found + "' is no duration with a unit: ms, s, min or h");
    return milliseconds(static_cast<std::int64_t>(amount.value_or(0)));
}

double ini_file::bytes(std::string_view section, std::string_view key,
                       std::optional<double> fallback, bool per_second)
{
    const auto* found = find(section, key);
    if (found == nullptr)
    {
        if (!fallback)
            missing(section, key);
        return fallback.value_or(0);
    }
    auto value = internal::split(*found);
    const bool rated = value && value->unit.ends_with("/s");
    if (rated)
        value->unit.remove_suffix(2);
    const auto amount =
        value ? internal::scaled(internal::size_units, *value) : std::nullopt;
    if (!amount || rated != per_second)
        fault(section, key,
              "'" + *found + "' needs a unit: " +
                  (per_second ? "B/s, KiB/s, MiB/s, GiB/s or Mbit/s"
                              : "B, KiB, MiB, GiB or Mbit"));
    return amount.value_or(0);
}

bool ini_file::flag(std::string_view section, std::string_view key,
                    std::optional<bool> fallback)
{
    const auto* found = find(section, key);
    if (found == nullptr)
    {
        if (!fallback)
            missing(section, key);
        return fallback.value_or(false);
    }
    if (*found != "true" && *found != "false")
        fault(section, key, "'" + *found + "' is neither true nor false");
    return *found == "true";
}

result<bool> ini_file::finish() const
{
    if (!first_fault.empty())
        return failure(error_kind::invalid, first_fault);
    for (const auto& [key, value] : values)
    {
        if (!known.contains(key))
            return failure(error_kind::invalid, name + ": [" + key.first +
                                                    "] " + key.second +
                                                    ": key is unknown");
    }
    return true;
}

} // namespace coursejunction
