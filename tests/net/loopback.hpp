/*! @file
 * @brief Helpers for socket tests: raw connections, scripted peers and a
 * running event loop.
 */
#ifndef COURSEJUNCTION_TESTS_NET_LOOPBACK_HPP
#define COURSEJUNCTION_TESTS_NET_LOOPBACK_HPP

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "coursejunction/net/event_loop.hpp"

namespace loopback
{

/*! @brief Returns a loopback address that is unique to this process, because
 * several checkouts may run their tests on one machine at the same time. Any
 * address of 127.0.0.0/8 can be bound. */
inline std::string own_address(int number)
{
    const auto run = ::getpid();
    return "127." + std::to_string(1 + run / 250 % 250) + "." +
           std::to_string(run % 250) + "." + std::to_string(number);
}

/*! @brief A blocking TCP connection to a loopback address, with a read timeout
 * of 10 s. */
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port,
                            const std::string& address = "127.0.0.1")
        : file(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        ::inet_pton(AF_INET, address.c_str(), &to.sin_addr);
        const timeval timeout{10, 0};
        ::setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        open = ::connect(file, reinterpret_cast<const sockaddr*>(&to),
                         sizeof(to)) == 0;
    }

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection() { ::close(file); }

    void send(const std::string& bytes)
    {
        const auto done =
            ::send(file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        was_reset =
            was_reset || (done < 0 && (errno == ECONNRESET || errno == EPIPE));
    }

    /*! @brief Closes the sending side only. */
    void finish_sending() { ::shutdown(file, SHUT_WR); }

    /*! @brief Reads until a text was received or the peer closes.
     * @return All bytes received so far. */
    [[nodiscard]] std::string until(const std::string& text)
    {
        while (received.find(text) == std::string::npos && read_more())
        {
        }
        return received;
    }

    /*! @brief Reads until the peer closes.
     * @return All bytes received so far. */
    [[nodiscard]] std::string drain()
    {
        while (read_more())
        {
        }
        return received;
    }

    bool open{false};
    bool was_reset{false}; /*!< The peer reset the connection. */

private:
    bool read_more()
    {
        char part[4096];
        const auto count = ::recv(file, part, sizeof(part), 0);
        was_reset = was_reset || (count < 0 && errno == ECONNRESET);
        if (count <= 0)
            return false;
        received.append(part, static_cast<std::size_t>(count));
        return true;
    }

    int file;
    std::string received;
};

/*! @brief A listening socket on a free port of 127.0.0.1. */
struct listening_port
{
    listening_port() : file(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(file, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
            ::listen(file, 8) != 0)
            throw std::runtime_error("cannot listen on loopback");
        socklen_t size = sizeof at;
        ::getsockname(file, reinterpret_cast<sockaddr*>(&at), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }

    int file; /*!< Closed by the object that accepts on it. */
    std::string address;
};

/*! @brief Accepts connections and sends each the next of the given responses;
 * the last one is repeated. */
class scripted_peer
{
public:
    /*! @brief In place of a response: sends nothing and keeps the connection
     * open until the client closes it. */
    static constexpr const char* hang = "hang";

    explicit scripted_peer(std::vector<std::string> responses_in_order)
        : scripted_peer(std::move(responses_in_order), listening_port())
    {
    }

    ~scripted_peer()
    {
        ::shutdown(file, SHUT_RDWR);
        thread.join();
        ::close(file);
    }

    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;

    /*! @brief Returns the first bytes received on each connection. */
    std::vector<std::string> arrivals()
    {
        const std::lock_guard guard(mutex);
        return seen;
    }

    std::string address;
    std::atomic<bool> closed_by_caller{false};
    std::atomic<bool> reset_by_caller{
        false}; /*!< Set before `closed_by_caller`. */

private:
    scripted_peer(std::vector<std::string> responses_in_order,
                  const listening_port& port)
        : address(port.address), answers(std::move(responses_in_order)),
          file(port.file)
    {
        thread = std::thread([this] { run(); });
    }

    void run()
    {
        for (std::size_t next = 0; !answers.empty();)
        {
            const int caller = ::accept(file, nullptr, nullptr);
            if (caller < 0)
                return;
            if (record_request(caller))
            {
                answer(caller, answers[std::min(next, answers.size() - 1)]);
                ++next;
            }
            ::close(caller);
        }
    }

    /*! @brief Records the first bytes of a connection.
     * @return Whether any were received: a probe closes without sending. */
    bool record_request(int caller)
    {
        char part[8192];
        const auto count = ::recv(caller, part, sizeof part, 0);
        if (count <= 0)
            return false;
        const std::lock_guard guard(mutex);
        seen.emplace_back(part, static_cast<std::size_t>(count));
        return true;
    }

    void answer(int caller, const std::string& bytes)
    {
        if (bytes != hang)
        {
            const auto done =
                ::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            return static_cast<void>(done);
        }
        char byte = 0;
        const auto count = ::recv(caller, &byte, 1, 0);
        reset_by_caller = count < 0 && errno == ECONNRESET;
        closed_by_caller = true;
        closed_by_caller.notify_all();
    }

    std::vector<std::string> answers;
    int file;
    std::mutex mutex;
    std::vector<std::string> seen;
    std::thread thread;
};

/*! @brief Runs an event loop on its own thread until `stop` or destruction. */
class running_loop
{
public:
    running_loop() : thread([this] { loop.run(); }) {}
    running_loop(const running_loop&) = delete;
    running_loop& operator=(const running_loop&) = delete;

    ~running_loop() { stop(); }

    /*! @brief Ends the loop's thread; objects that use the loop can then be
     * destroyed. */
    void stop()
    {
        loop.stop();
        if (thread.joinable())
            thread.join();
    }

    /*! @brief Runs work on the loop's thread and waits until it is done. */
    template <typename Work>
    void on_loop(Work work)
    {
        std::atomic<bool> done{false};
        loop.post(
            [&]
            {
                work();
                done = true;
                done.notify_all();
            });
        done.wait(false);
    }

    coursejunction::event_loop loop;

private:
    std::thread thread;
};

} // namespace loopback

#endif
