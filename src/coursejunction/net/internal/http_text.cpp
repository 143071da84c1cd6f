#include "coursejunction/net/internal/http_text.hpp"

#include <algorithm>
#include <cctype>
#include <cstddef>

#include <pistache/http_defs.h>

namespace coursejunction::internal
{

namespace
{

int hex_digit(char one)
{
    if (one >= '0' && one <= '9')
        return one - '0';
    if (one >= 'a' && one <= 'f')
        return one - 'a' + 10;
    if (one >= 'A' && one <= 'F')
        return one - 'A' + 10;
    return -1;
}

} // namespace

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char one)
                   { return static_cast<char>(std::tolower(one)); });
    return text;
}

std::string percent_decoded(const std::string& text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const bool escape = text[at] == '%' && at + 2 < text.size() &&
                            hex_digit(text[at + 1]) >= 0 &&
                            hex_digit(text[at + 2]) >= 0;
        if (escape)
        {
            decoded.push_back(static_cast<char>(hex_digit(text[at + 1]) * 16 +
                                                hex_digit(text[at + 2])));
            at += 2;
        }
        else
        {
            decoded.push_back(text[at] == '+' ? ' ' : text[at]);
        }
    }
    return decoded;
}

std::string head_text(int status, std::string_view content_type,
                      const header_map& headers)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head +=
        Pistache::Http::codeString(static_cast<Pistache::Http::Code>(status));
    head += "\r\n";
    if (!content_type.empty())
        head.append("Content-Type: ").append(content_type).append("\r\n");
    for (const auto& [name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    return head;
}

} // namespace coursejunction::internal
