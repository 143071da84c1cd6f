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

std::vector<std::string> listed_names(std::string_view text)
{
    std::vector<std::string> names;
    std::string name;
    for (const char letter : text)
    {
        if (letter == ',')
        {
            names.push_back(std::move(name));
            name.clear();
        }
        else if (letter != ' ' && letter != '\t')
            name.push_back(letter);
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
        for (auto& name : internal::listed_names(one.value))
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
