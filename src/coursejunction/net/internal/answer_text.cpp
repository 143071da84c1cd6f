#include "coursejunction/net/internal/answer_text.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include "coursejunction/net/head_text.hpp"

namespace coursejunction::internal
{

namespace http = boost::beast::http;

int refusal_status(const boost::system::error_code& fault)
{
    // The buffer is exceeded by a chunk's head or a trailer section only.
    if (fault == http::error::header_limit ||
        fault == http::error::buffer_overflow)
        return 431;
    if (fault == http::error::body_limit)
        return 413;
    return 400;
}

std::string answer_head(int status, const header_list& headers,
                        unsigned version, std::optional<std::size_t> length,
                        bool close)
{
    http::response<http::empty_body> head;
    head.version(version);
    head.result(static_cast<unsigned>(status));
    for (const auto& one : headers)
        head.insert(one.name, one.value);
    if (length)
        head.set(http::field::content_length, std::to_string(*length));
    else if (version >= 11)
        head.set(http::field::transfer_encoding, "chunked");
    if (close)
        head.set(http::field::connection, "close");
    return head_text(head);
}

std::string chunk_text(std::string_view bytes)
{
    return boost::beast::buffers_to_string(
        http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())));
}

} // namespace coursejunction::internal
