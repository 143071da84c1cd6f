/*! @file
 * @brief Header fields of a message, in order.
 */
#ifndef COURSEJUNCTION_NET_HEADER_LIST_HPP
#define COURSEJUNCTION_NET_HEADER_LIST_HPP

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace coursejunction
{

/*! @brief Compares two header names, ignoring case as HTTP requires. */
[[nodiscard]] inline bool same_header(std::string_view left,
                                      std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](unsigned char one, unsigned char other)
                      { return std::tolower(one) == std::tolower(other); });
}

/*! @brief One header field. */
struct header_field
{
    std::string name;
    std::string value;
};

/*! @brief Ordered header fields; a name may occur more than once. */
class header_list
{
public:
    using value_type = header_field;
    using const_iterator = std::vector<header_field>::const_iterator;

    /*! @brief Appends a field. */
    void push_back(std::string name, std::string value)
    {
        fields.push_back({std::move(name), std::move(value)});
    }

    /*! @brief Returns the first value of a name, or an empty string. */
    [[nodiscard]] std::string_view find(std::string_view name) const
    {
        for (const auto& one : fields)
        {
            if (same_header(one.name, name))
                return one.value;
        }
        return {};
    }

    /*! @brief Returns whether a name occurs at least once. */
    [[nodiscard]] bool contains(std::string_view name) const
    {
        return std::any_of(fields.begin(), fields.end(),
                           [&](const header_field& one)
                           { return same_header(one.name, name); });
    }

    /*! @brief Removes every field with a name. */
    void erase(std::string_view name)
    {
        std::erase_if(fields, [&](const header_field& one)
                      { return same_header(one.name, name); });
    }

    /*! @brief Replaces all fields with a name by one, appended at the end. */
    void assign(std::string_view name, std::string value)
    {
        erase(name);
        push_back(std::string(name), std::move(value));
    }

    /*! @brief Removes the hop-by-hop fields: those of RFC 9110 section 7.6.1,
     * those that `Connection` lists, and the framing fields, which each
     * connection sets itself. */
    void erase_connection_fields();

    [[nodiscard]] const_iterator begin() const { return fields.begin(); }
    [[nodiscard]] const_iterator end() const { return fields.end(); }
    [[nodiscard]] std::size_t size() const { return fields.size(); }
    [[nodiscard]] bool empty() const { return fields.empty(); }

private:
    std::vector<header_field> fields;
};

} // namespace coursejunction

#endif
