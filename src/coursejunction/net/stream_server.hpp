/*! @file
 * @brief HTTP/1.1 server on Boost.Beast that runs on the loop's thread, keeps
 * requests exactly as they came, and streams answers.
 */
#ifndef COURSEJUNCTION_NET_STREAM_SERVER_HPP
#define COURSEJUNCTION_NET_STREAM_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"
#include "coursejunction/net/header_list.hpp"
#include "coursejunction/net/stream_limits.hpp"

namespace coursejunction
{

/*! @brief One request, byte for byte as the caller wrote it. */
struct stream_request
{
    std::string method;
    std::string target;
    header_list headers;
    std::string body;
    std::string from; /*!< The caller's `IP:port`. */
};

/*! @brief Answers one request. All members do nothing once the caller has
 * left or the answer has ended. */
class stream_reply
{
public:
    class target;

    stream_reply() = default;
    stream_reply(std::weak_ptr<target> connection, std::uint64_t number);

    /*! @brief Sends a whole answer. */
    void send(int status, const header_list& headers, std::string_view body);

    /*! @brief Sends the head of an answer whose length is not known. */
    void begin(int status, const header_list& headers);

    /*! @brief Sends a part of the body. */
    void write(std::string_view bytes);

    /*! @brief Ends the answer as whole. */
    void finish();

    /*! @brief Ends the answer visibly broken: closes before the last chunk. */
    void cut();

    /*! @brief Sets what is called when the caller leaves before the end. */
    void on_left(std::function<void()> call);

    /*! @brief Returns how many bytes wait for the caller to read. */
    [[nodiscard]] std::size_t unsent() const;

private:
    std::weak_ptr<target> connection;
    std::uint64_t number{0};
};

/*! @brief Serves HTTP/1.1. Wrong input is answered with 400, 408, 413 or 431
 * and the connection is closed; the handler never sees it. */
class stream_server
{
public:
    using handler = std::function<void(stream_request, stream_reply)>;

    /*! @brief Listens; port 0 takes any free one.
     * @return The server, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<stream_server>>
    create(event_loop& loop, const std::string& address, std::uint16_t port,
           stream_limits limits, handler handle);

    ~stream_server();

    /*! @brief Changes the limits of what comes from now on. */
    void limits(const stream_limits& set);

    /*! @brief Begins a planned stop: every answer from now on announces that
     * its connection closes. */
    void retire();

    /*! @brief Closes connections on which no request is being read or
     * answered. */
    void close_idle();

    /*! @brief Returns the port that is listened on. */
    [[nodiscard]] std::uint16_t port() const;

    /*! @brief Returns how many connections are open. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief Returns how many requests are being answered. */
    [[nodiscard]] std::size_t answering() const;

private:
    struct implementation;
    explicit stream_server(std::shared_ptr<implementation> shared);

    std::shared_ptr<implementation> self;
};

} // namespace coursejunction

#endif
