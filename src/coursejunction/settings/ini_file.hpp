/*! @file
 * @brief Parses an INI file and reads its values with type checks.
 */
#ifndef COURSEJUNCTION_SETTINGS_INI_FILE_HPP
#define COURSEJUNCTION_SETTINGS_INI_FILE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"

namespace coursejunction
{

/*! @brief A parsed INI file. The first error is kept as one line that names
 * file, section and key; `validate` returns it once all keys were read. Keys
 * that were never read count as unknown.
 *
 * A read without a fallback records an error when the key is absent. */
class ini_file
{
public:
    /*! @brief Reads and parses a file.
     * @return The parsed file, or `invalid` with the file and, for a syntax
     * error, the line. */
    [[nodiscard]] static result<ini_file> load(const std::string& path);

    /*! @brief Parses a text. Errors call it by the given file name. */
    [[nodiscard]] static result<ini_file> parse(const std::string& file_name,
                                                const std::string& text);

    /*! @brief Returns a text, or the fallback when the key is absent or
     * empty. */
    std::string text(std::string_view section, std::string_view key,
                     std::optional<std::string> fallback);

    /*! @brief Returns a whole number from `low` to `high`. */
    std::int64_t number(std::string_view section, std::string_view key,
                        std::optional<std::int64_t> fallback, std::int64_t low,
                        std::int64_t high);

    /*! @brief Returns a duration, which has to have a unit: `ms`, `s`, `min` or
     * `h`. */
    milliseconds duration(std::string_view section, std::string_view key,
                          std::optional<milliseconds> fallback);

    /*! @brief Returns a size in bytes, or a rate in bytes a second. It has to
     * have a unit: `B`, `KiB`, `MiB`, `GiB` or `Mbit`, for a rate followed by
     * `/s`. */
    double bytes(std::string_view section, std::string_view key,
                 std::optional<double> fallback, bool per_second);

    /*! @brief Returns a value of `true` or `false`. */
    bool flag(std::string_view section, std::string_view key,
              std::optional<bool> fallback);

    /*! @brief Returns all values of a section by their key. */
    std::map<std::string, std::string> section(std::string_view name);

    /*! @brief Records an error that the caller found in a value. */
    void record_error(std::string_view section, std::string_view key,
                      std::string_view message);

    /*! @brief Returns `true`, or `invalid` with the first recorded error or
     * else the first unknown key. Call it after all reads. */
    [[nodiscard]] result<bool> validate() const;

private:
    using key_type = std::pair<std::string, std::string>;

    const std::string* find(std::string_view section, std::string_view key);
    void record_missing(std::string_view section, std::string_view key);

    std::string file_name;
    std::map<key_type, std::string> values;
    std::set<key_type> requested;
    std::string first_error;
};

} // namespace coursejunction

#endif
