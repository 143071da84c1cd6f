/*! @file
 * @brief Serializes the head of a message with Boost.Beast; internal to the net
 * module.
 */
#ifndef COURSEJUNCTION_NET_HEAD_TEXT_HPP
#define COURSEJUNCTION_NET_HEAD_TEXT_HPP

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

namespace coursejunction::internal
{

/*! @brief Returns the serialized head, without a body. */
template <bool IsRequest, typename Fields>
[[nodiscard]] std::string
head_text(boost::beast::http::message<IsRequest, boost::beast::http::empty_body,
                                      Fields>& head)
{
    namespace http = boost::beast::http;
    http::serializer<IsRequest, http::empty_body, Fields> writer(head);
    writer.split(true);
    std::string text;
    boost::system::error_code fault;
    while (!writer.is_header_done())
    {
        writer.next(fault,
                    [&](boost::system::error_code&, const auto& buffers)
                    {
                        text += boost::beast::buffers_to_string(buffers);
                        writer.consume(boost::asio::buffer_size(buffers));
                    });
    }
    return text;
}

} // namespace coursejunction::internal

#endif
