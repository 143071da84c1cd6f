/*! @file
 * @brief A raw connection and a running loop, for socket tests.
 */
#ifndef COURSEJUNCTION_TESTS_NET_LOOPBACK_HPP
#define COURSEJUNCTION_TESTS_NET_LOOPBACK_HPP

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "coursejunction/net/event_loop.hpp"

namespace loopback
{

/*! @brief A plain connection to a port on loopback. */
class raw_connection
{
public:
    explicit raw_connection(std::uint16_t port)
        : file(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval patience{10, 0};
        ::setsockopt(file, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        open = ::connect(file, reinterpret_cast<const sockaddr*>(&to),
                         sizeof(to)) == 0;
    }

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;
    ~raw_connection() { ::close(file); }

    void send(const std::string& bytes) const
    {
        const auto done =
            ::send(file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        static_cast<void>(done);
    }

    /*! @brief Reads until a text came or the other end closes. */
    [[nodiscard]] std::string until(const std::string& text)
    {
        while (taken.find(text) == std::string::npos && more())
        {
        }
        return taken;
    }

    /*! @brief Reads until the other end closes. */
    [[nodiscard]] std::string drain()
    {
        while (more())
        {
        }
        return taken;
    }

    bool open{false};

private:
    bool more()
    {
        char part[4096];
        const auto count = ::recv(file, part, sizeof(part), 0);
        if (count <= 0)
            return false;
        taken.append(part, static_cast<std::size_t>(count));
        return true;
    }

    int file;
    std::string taken;
};

/*! @brief Runs a loop on a thread of its own while it lives. */
class running_loop
{
public:
    running_loop() : thread([this] { loop.run(); }) {}
    running_loop(const running_loop&) = delete;
    running_loop& operator=(const running_loop&) = delete;

    ~running_loop() { stop(); }

    /*! @brief Ends the loop's thread; what was made on it may then go. */
    void stop()
    {
        loop.stop();
        if (thread.joinable())
            thread.join();
    }

    /*! @brief Runs work on the loop's thread and waits for it. */
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
