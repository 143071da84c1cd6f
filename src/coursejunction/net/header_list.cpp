#include "coursejunction/net/header_list.hpp"

#include <array>

namespace coursejunction
{

namespace internal
{

constexpr std::array<std::string_view, 9> connection_fields{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length",
    "Expect"};

std::vector<std::string> split_names(std::string_view text)
{
    std::vector<std::string> names;
    std::string name;
    for (const char character : text)
    {
        if (character == ',')
        {
            names.push_back(std::move(name));
            name.clear();
        }
        else if (character != ' ' && character != '\t')
            name.push_back(character);
    }
    names.push_back(std::move(name));
    return names;
}

} // namespace internal

void header_list::erase_connection_fields()
{
    std::vector<std::string> listed;
    for (const auto& one : fields)
    {
        if (!same_header(one.name, "Connection"))
            continue;
        for (auto& name : internal::split_names(one.value))
            listed.push_back(std::move(name));
    }
    for (const auto name : internal::connection_fields)
        erase(name);
    for (const auto& name : listed)
    {
        if (!name.empty())
            erase(name);
    }
}

} // namespace coursejunction
