/*! @file
 * @brief HTTP server on Pistache; answers may be given from another thread.
 */
#ifndef COURSEJUNCTION_NET_HTTP_SERVER_HPP
#define COURSEJUNCTION_NET_HTTP_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"

namespace coursejunction
{

/*! @brief Header names in lower case and their values. */
using header_map = std::map<std::string, std::string>;

/*! @brief One request as it came. */
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    std::string body;

    /*! @brief Returns a header, or an empty text. */
    [[nodiscard]] std::string header(const std::string& name) const;

    /*! @brief Returns a query parameter, or nothing. */
    [[nodiscard]] std::optional<std::string>
    parameter(const std::string& name) const;
};

/*! @brief The answer to one request; safe from any thread. When the caller
 * has left, every call does nothing. */
class http_reply
{
public:
    virtual ~http_reply() = default;

    /*! @brief Sends a whole answer. */
    virtual void send(int status, std::string_view content_type,
                      const header_map& headers, std::string_view body) = 0;

    /*! @brief Sends the head of a streamed answer. */
    virtual void begin(int status, std::string_view content_type,
                       const header_map& headers) = 0;

    /*! @brief Sends a part of a streamed answer. */
    virtual void write(std::string_view bytes) = 0;

    /*! @brief Ends a streamed answer as whole. */
    virtual void finish() = 0;

    /*! @brief Ends a streamed answer visibly broken: the connection is cut
     * before the last chunk. */
    virtual void cut() = 0;

    /*! @brief Sets what is called, on a thread of the server, when the caller
     * leaves before the end; called at once if that has happened. */
    virtual void on_abandoned(std::function<void()> call) = 0;
};

/*! @brief Limits of a server. */
struct http_options
{
    std::size_t threads{1};
    std::size_t max_request_bytes{std::size_t{1} << 20U};
    /*! @brief A connection without an open answer is closed when no whole
     * request came for this long. */
    milliseconds head_limit{60'000};
};

/*! @brief Serves HTTP/1.1 on its own threads. */
class http_server
{
public:
    using handler =
        std::function<void(http_request, std::shared_ptr<http_reply>)>;

    /*! @brief Listens; port 0 takes any free one. The handler is called on a
     * thread of the server.
     * @return The server, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    create(const std::string& address, std::uint16_t port,
           const http_options& options, handler handle);

    ~http_server();

    /*! @brief Returns the port that is listened on. */
    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> owned);

    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
