/*! @file
 * @brief Request parser of the HTTP server with a bound on a request's head.
 */
#ifndef COURSEJUNCTION_NET_INTERNAL_BOUNDED_PARSER_HPP
#define COURSEJUNCTION_NET_INTERNAL_BOUNDED_PARSER_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include <pistache/http.h>

namespace coursejunction::internal
{

/*! @brief Pistache's request parser and the size of the head it receives.
 *
 * Each call of `parse` reads an incomplete head anew from its start, which
 * without a bound takes time in proportion to the square of the head's size. A
 * head is therefore bounded, and so is the sum of what its parses read. */
class bounded_parser : public Pistache::Http::RequestParser
{
public:
    enum class next_step
    {
        parse, /*!< Feed the part and parse. */
        wait,  /*!< Feed the part; parse once the head's end was received. */
        refuse /*!< The head is too large; do not feed the part. */
    };

    bounded_parser(std::size_t max_request_bytes, std::size_t head_bound);

    /*! @brief Counts the next part of the connection's input.
     * @return What has to be done with it. */
    [[nodiscard]] next_step receive(std::string_view part);

    /*! @brief Discards the request that was received so far. */
    void reset() override;

    /*! @brief Bytes received after a head was refused. */
    std::size_t discarded_bytes{0};
    bool refused{false}; /*!< A head was refused on this connection. */

private:
    std::size_t max_head_bytes;
    std::size_t head_bytes{0};
    std::size_t parsed_bytes{
        0};                 /*!< Sum of what the head's parses have read. */
    std::string last_bytes; /*!< At most 3; the head's end can be split. */
};

} // namespace coursejunction::internal

#endif
