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

/*! @brief A unit of durations (in milliseconds) or sizes (in bytes). */
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

/*! @brief Splits a number from its unit; empty if there is no unit or the
 * number is malformed. */
std::optional<quantity> parse_quantity(std::string_view text)
{
    const auto end = text.find_first_not_of("0123456789.");
    if (end == 0 || end == std::string_view::npos)
        return std::nullopt;
    double amount = 0;
    const auto digits = text.substr(0, end);
    const auto [stop, code] =
        std::from_chars(digits.data(), digits.data() + digits.size(), amount);
    if (code != std::errc{} || stop != digits.data() + digits.size())
        return std::nullopt;
    auto name = text.substr(end);
    while (!name.empty() && name.front() == ' ')
        name.remove_prefix(1);
    return quantity{amount, name};
}

/*! @brief Converts to the base unit; empty if the unit is not in the table. */
template <typename Units>
std::optional<double> convert(const Units& units, const quantity& value)
{
    for (const auto& known : units)
    {
        if (known.name == value.unit)
            return value.amount * known.factor;
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

result<ini_file> ini_file::parse(const std::string& file_name,
                                 const std::string& text)
{
    ini_file parsed;
    parsed.file_name = file_name;
    const auto handler = [](void* user, const char* section, const char* key,
                            const char* value) -> int
    {
        auto& file = *static_cast<ini_file*>(user);
        file.values[{section, key}] = value;
        return 1;
    };
    const int line = ini_parse_string(text.c_str(), handler, &parsed);
    if (line != 0)
        return failure(error_kind::invalid, file_name + ": line " +
                                                std::to_string(line) +
                                                " is not valid INI");
    return parsed;
}

const std::string* ini_file::find(std::string_view section,
                                  std::string_view key)
{
    key_type full{std::string(section), std::string(key)};
    requested.insert(full);
    const auto found = values.find(full);
    return found == values.end() ? nullptr : &found->second;
}

std::map<std::string, std::string> ini_file::section(std::string_view name)
{
    std::map<std::string, std::string> entries;
    for (const auto& [full, value] : values)
    {
        if (full.first != name)
            continue;
        requested.insert(full);
        entries.emplace(full.second, value);
    }
    return entries;
}

void ini_file::record_error(std::string_view section, std::string_view key,
                            std::string_view message)
{
    if (!first_error.empty())
        return;
    first_error = file_name + ": [" + std::string(section) + "] " +
                  std::string(key) + ": " + std::string(message);
}

void ini_file::record_missing(std::string_view section, std::string_view key)
{
    record_error(section, key, "value is missing");
}

std::string ini_file::text(std::string_view section, std::string_view key,
                           std::optional<std::string> fallback)
{
    const auto* found = find(section, key);
    if (found != nullptr && !found->empty())
        return *found;
    if (!fallback)
        record_missing(section, key);
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
            record_missing(section, key);
        return fallback.value_or(low);
    }
    std::int64_t value = 0;
    const auto* end = found->data() + found->size();
    const auto [stop, code] = std::from_chars(found->data(), end, value);
    if (code != std::errc{} || stop != end)
        record_error(section, key, "'" + *found + "' is not a whole number");
    else if (value < low || value > high)
        record_error(section, key,
                     "must be between " + std::to_string(low) + " and " +
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
            record_missing(section, key);
        return fallback.value_or(milliseconds(0));
    }
    const auto value = internal::parse_quantity(*found);
    const auto amount =
        value ? internal::convert(internal::duration_units, *value)
              : std::nullopt;
    if (!amount)
        record_error(section, key,
                     "'" + *found +
                         "' is not a duration with a unit: ms, s, min or h");
    return milliseconds(static_cast<std::int64_t>(amount.value_or(0)));
}

double ini_file::bytes(std::string_view section, std::string_view key,
                       std::optional<double> fallback, bool per_second)
{
    const auto* found = find(section, key);
    if (found == nullptr)
    {
        if (!fallback)
            record_missing(section, key);
        return fallback.value_or(0);
    }
    auto value = internal::parse_quantity(*found);
    const bool has_rate_unit = value && value->unit.ends_with("/s");
    if (has_rate_unit)
        value->unit.remove_suffix(2);
    const auto amount =
        value ? internal::convert(internal::size_units, *value) : std::nullopt;
    if (!amount || has_rate_unit != per_second)
        record_error(section, key,
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
            record_missing(section, key);
        return fallback.value_or(false);
    }
    if (*found != "true" && *found != "false")
        record_error(section, key,
                     "'" + *found + "' is neither true nor false");
    return *found == "true";
}

result<bool> ini_file::validate() const
{
    if (!first_error.empty())
        return failure(error_kind::invalid, first_error);
    for (const auto& [key, value] : values)
    {
        if (!requested.contains(key))
            return failure(error_kind::invalid, file_name + ": [" + key.first +
                                                    "] " + key.second +
                                                    ": key is unknown");
    }
    return true;
}

} // namespace coursejunction
