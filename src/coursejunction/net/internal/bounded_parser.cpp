#include "coursejunction/net/internal/bounded_parser.hpp"

#include <algorithm>

namespace coursejunction::internal
{

namespace
{

constexpr std::string_view head_end = "\r\n\r\n";

/*! @brief Multiple of the bound that the parses of one head may read before its
 * end is received; then it is parsed at its end only. A malformed head in few
 * parts is so answered as soon as possible. */
constexpr std::size_t early_parse_factor = 4;

/*! @brief Multiple of the bound that all parses of one head may read. Only a
 * head with further empty lines gets there: Pistache reads on at an empty line
 * that follows a line without a colon. */
constexpr std::size_t parse_factor = 8;

} // namespace

bounded_parser::bounded_parser(std::size_t max_request_bytes,
                               std::size_t head_bound)
    : Pistache::Http::RequestParser(max_request_bytes),
      max_head_bytes(head_bound)
{
}

bounded_parser::next_step bounded_parser::receive(std::string_view part)
{
    if (step()->id() == Pistache::Http::Private::BodyStep::Id)
        return next_step::parse;
    const auto allowed = max_head_bytes - std::min(max_head_bytes, head_bytes);
    const auto within_bound = last_bytes + std::string(part.substr(0, allowed));
    const bool ends = within_bound.find(head_end) != std::string::npos;
    if ((part.size() > allowed && !ends) ||
        parsed_bytes > parse_factor * max_head_bytes)
        return next_step::refuse;
    head_bytes += part.size();
    last_bytes.append(part);
    last_bytes.erase(0, last_bytes.size() -
                            std::min(last_bytes.size(), head_end.size() - 1));
    if (!ends &&
        parsed_bytes + head_bytes > early_parse_factor * max_head_bytes)
        return next_step::wait;
    parsed_bytes += head_bytes;
    return next_step::parse;
}

void bounded_parser::reset()
{
    Pistache::Http::RequestParser::reset();
    head_bytes = 0;
    parsed_bytes = 0;
    last_bytes.clear();
}

} // namespace coursejunction::internal
