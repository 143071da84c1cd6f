/*! @file
 * @brief Reads an INI file and checks it key by key.
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

/*! @brief A parsed INI file. Each read marks its key as known; the first
 * fault is kept as one line that names file, section and key. */
class ini_file
{
public:
    /*! @brief Reads a file.
     * @return The file, or `invalid` with file and line. */
    [[nodiscard]] static result<ini_file> load(const std::string& path);

    /*! @brief Reads a text as if it were a file of the given name. */
    [[nodiscard]] static result<ini_file> parse(const std::string& name,
                                                const std::string& text);

    /*! @brief Returns a text, or the fallback when the key is absent. */
    std::string text(std::string_view section, std::string_view key,
                     std::optional<std::string> fallback);

    /*! @brief Returns a whole number within bounds. */
    std::int64_t number(std::string_view section, std::string_view key,
                        std::optional<std::int64_t> fallback, std::int64_t low,
                        std::int64_t high);

    /*! @brief Returns a duration written with its unit: `ms`, `s`, `min`,
     * `h`. */
    milliseconds duration(std::string_view section, std::string_view key,
                          std::optional<milliseconds> fallback);

    /*! @brief Returns a size in bytes written with its unit: `B`, `KiB`,
     * `MiB`, `GiB`, `Mbit`, or the same followed by `/s` for rates. */
    double bytes(std::string_view section, std::string_view key,
                 std::optional<double> fallback, bool per_second);

    /*! @brief Returns `true` or `false`. */
    bool flag(std::string_view section, std::string_view key,
              std::optional<bool> fallback);

    /*! @brief Records a fault of a key found by the caller. */
    void fault(std::string_view section, std::string_view key,
               std::string_view what);

    /*! @brief Returns the first fault, unknown keys included.
     * @return Success, or `invalid`. */
    [[nodiscard]] result<bool> finish() const;

private:
    using key_type = std::pair<std::string, std::string>;

    const std::string* find(std::string_view section, std::string_view key);
    void missing(std::string_view section, std::string_view key);

    std::string name;
    std::map<key_type, std::string> values;
    std::set<key_type> known;
    std::string first_fault;
};

} // namespace coursejunction

#endif
