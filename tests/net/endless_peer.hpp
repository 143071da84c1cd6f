/*! @file
 * @brief Test server whose response never ends.
 */
#ifndef COURSEJUNCTION_TESTS_NET_ENDLESS_PEER_HPP
#define COURSEJUNCTION_TESTS_NET_ENDLESS_PEER_HPP

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Accepts one connection, reads the request and sends a beginning, then
 * one part after the other until its caller closes the connection. */
class endless_peer
{
public:
    endless_peer(std::string beginning, std::string repeated,
                 std::chrono::milliseconds interval = {})
        : endless_peer(std::move(beginning), std::move(repeated), interval,
                       listening_port())
    {
    }

    ~endless_peer()
    {
        stopping = true;
        ::shutdown(file, SHUT_RDWR);
        thread.join();
        ::close(file);
    }

    endless_peer(const endless_peer&) = delete;
    endless_peer& operator=(const endless_peer&) = delete;

    std::string address;
    std::atomic<std::size_t> sent_bytes{0};
    std::atomic<bool> closed_by_caller{false};

private:
    endless_peer(std::string beginning, std::string repeated,
                 std::chrono::milliseconds interval, const listening_port& port)
        : address(port.address), head(std::move(beginning)),
          part(std::move(repeated)), pause(interval), file(port.file)
    {
        thread = std::thread([this] { run(); });
    }

    void run()
    {
        const int caller = ::accept(file, nullptr, nullptr);
        if (caller < 0)
            return;
        char request[8192];
        const auto received = ::recv(caller, request, sizeof request, 0);
        const timeval limit{1, 0};
        ::setsockopt(caller, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        bool open = received > 0 && send(caller, head);
        while (open && !stopping)
        {
            std::this_thread::sleep_for(pause);
            open = send(caller, part);
        }
        closed_by_caller = !open;
        ::close(caller);
    }

    /*! @return False once the connection is closed. */
    bool send(int caller, const std::string& bytes)
    {
        const auto count =
            ::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count > 0)
            sent_bytes += static_cast<std::size_t>(count);
        return count >= 0 || errno == EAGAIN;
    }

    std::string head;
    std::string part;
    std::chrono::milliseconds pause;
    int file;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace loopback

#endif
