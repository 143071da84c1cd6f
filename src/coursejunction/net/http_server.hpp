/*! @file
 * @brief HTTP server on Pistache; responses may be sent from any thread.
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

/*! @brief One received request. */
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    header_map headers;
    std::string body;

    /*! @brief Returns the value of a header, or an empty string. `name` must be
     * in lower case. */
    [[nodiscard]] std::string header(const std::string& name) const;

    /*! @brief Returns a query parameter, or nothing. */
    [[nodiscard]] std::optional<std::string>
    parameter(const std::string& name) const;
};

/*! @brief The response to one request; all members are thread-safe. Once the
 * client has disconnected, every member except `on_disconnect` does nothing. */
class http_reply
{
public:
    virtual ~http_reply() = default;

    /*! @brief Sends a complete response. */
    virtual void send(int status, std::string_view content_type,
                      const header_map& headers, std::string_view body) = 0;

    /*! @brief Sends the head of a chunked response. */
    virtual void begin(int status, std::string_view content_type,
                       const header_map& headers) = 0;

    /*! @brief Sends a chunk of a chunked response. */
    virtual void write(std::string_view bytes) = 0;

    /*! @brief Sends the last chunk. */
    virtual void finish() = 0;

    /*! @brief Aborts a chunked response: closes the connection before the last
     * chunk, so that the client sees that the response is incomplete. */
    virtual void cut() = 0;

    /*! @brief Sets a callback for a client that disconnects before the response
     * has ended. It runs on a server thread, or immediately on the calling
     * thread if the client has already disconnected. */
    virtual void on_disconnect(std::function<void()> call) = 0;
};

/*! @brief Options of a server. */
struct http_options
{
    std::size_t threads{1};
    std::size_t max_request_bytes{std::size_t{1} << 20U};
    /*! @brief A larger head (request line and header fields) is answered with
     * 431 and its connection is closed. Common servers allow 8 to 32 KiB.
     * The parser reads a head anew for each part of it, so that the bound also
     * limits for how long one connection occupies the server's thread. */
    std::size_t max_head_bytes{std::size_t{64} << 10U};
    /*! @brief A connection without an open response is closed when no complete
     * request was received for this long. */
    milliseconds head_limit{60'000};
    /*! @brief For a further connection the one that has been idle for the
     * longest time is closed, or, while responses are open on all, the new one.
     */
    std::size_t max_connections{8192};
    /*! @brief A client that leaves more bytes of its responses unread gets no
     * further response: its connection is closed. */
    std::size_t max_unread_bytes{std::size_t{1} << 20U};
    /*! @brief Bound on the unread bytes of all clients when a request arrives;
     * its connection is closed beyond it. */
    std::size_t max_unread_in_total{std::size_t{16} << 20U};
};

/*! @brief Serves HTTP/1.1 on its own threads. */
class http_server
{
public:
    using handler =
        std::function<void(http_request, std::shared_ptr<http_reply>)>;

    /*! @brief Starts to listen; port 0 selects any free port. The handler is
     * called on a server thread.
     * @return The server, or an `unavailable` error if it cannot listen. */
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    create(const std::string& address, std::uint16_t port,
           const http_options& options, handler handle);

    ~http_server();

    /*! @brief Returns the listening port. */
    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> owned);

    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
