/*! @file
 * @brief Test server that streams events at a fixed interval.
 */
#ifndef COURSEJUNCTION_TESTS_NET_PACING_PEER_HPP
#define COURSEJUNCTION_TESTS_NET_PACING_PEER_HPP

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Answers one request with a stream of numbered events, after the one
 * that a header `Last` names. */
class pacing_peer
{
public:
    pacing_peer(int events, std::chrono::milliseconds interval)
        : pacing_peer(events, interval, listening_port())
    {
    }

    ~pacing_peer()
    {
        ::shutdown(file, SHUT_RDWR);
        thread.join();
        ::close(file);
    }

    pacing_peer(const pacing_peer&) = delete;
    pacing_peer& operator=(const pacing_peer&) = delete;

    std::string address;

private:
    pacing_peer(int events, std::chrono::milliseconds interval,
                const listening_port& port)
        : address(port.address), count(events), event_interval(interval),
          file(port.file)
    {
        thread = std::thread([this] { run(); });
    }

    void run() const
    {
        const int caller = ::accept(file, nullptr, nullptr);
        if (caller < 0)
            return;
        char part[8192];
        const auto received = ::recv(caller, part, sizeof part, 0);
        const std::string request(
            part, static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        send_bytes(caller, "HTTP/1.1 200 OK\r\nId: 7\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
        for (int at = last_event(request) + 1; at <= count; ++at)
        {
            std::this_thread::sleep_for(event_interval);
            send_chunk(caller, "id: " + std::to_string(at) + "\ndata: x\n\n");
        }
        send_bytes(caller, "0\r\n\r\n");
        ::close(caller);
    }

    static int last_event(const std::string& request)
    {
        const std::string name = "\r\nLast: ";
        const auto at = request.find(name);
        return at == std::string::npos
                   ? 0
                   : std::stoi(request.substr(at + name.size()));
    }

    static void send_chunk(int caller, const std::string& event)
    {
        char size[32];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        send_bytes(caller, size + event + "\r\n");
    }

    static void send_bytes(int caller, const std::string& bytes)
    {
        static_cast<void>(
            ::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    int count;
    std::chrono::milliseconds event_interval;
    int file;
    std::thread thread;
};

} // namespace loopback

#endif
