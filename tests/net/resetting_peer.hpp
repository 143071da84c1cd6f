/*! @file
 * @brief A server on the loopback interface that keeps connections open and
 * loses some of its responses by a reset. */
#ifndef COURSEJUNCTION_TESTS_NET_RESETTING_PEER_HPP
#define COURSEJUNCTION_TESTS_NET_RESETTING_PEER_HPP

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Reads one request after the other, each in one segment, and either
 * responds or resets its connection. Accepts one connection at a time. */
class resetting_peer
{
public:
    /*! @param answer Sent where a request is not lost.
     * @param script What happens to each request in turn: `a`, answered, or
     * `r`, read and then reset. Starts again after its end. */
    resetting_peer(std::string answer, std::string script)
        : response(std::move(answer)), outcomes(std::move(script)),
          thread([this] { run(); })
    {
    }

    ~resetting_peer()
    {
        stopping = true;
        ::shutdown(port.file, SHUT_RDWR);
        ::shutdown(connection, SHUT_RDWR);
        thread.join();
        ::close(port.file);
    }

    resetting_peer(const resetting_peer&) = delete;
    resetting_peer& operator=(const resetting_peer&) = delete;

    [[nodiscard]] const std::string& address() const { return port.address; }

    /*! @brief Returns how many requests were read. */
    [[nodiscard]] std::size_t arrivals() const { return read_requests; }

private:
    void run()
    {
        while (!stopping)
        {
            const int accepted = ::accept(port.file, nullptr, nullptr);
            if (accepted < 0)
                return;
            connection = accepted;
            serve(accepted);
            connection = -1;
            ::close(accepted);
        }
    }

    void serve(int caller)
    {
        char part[8192];
        while (::recv(caller, part, sizeof part, 0) > 0)
        {
            const auto number = read_requests++;
            if (outcomes[number % outcomes.size()] == 'r')
            {
                const linger at_once{1, 0};
                ::setsockopt(caller, SOL_SOCKET, SO_LINGER, &at_once,
                             sizeof at_once);
                return;
            }
            if (::send(caller, response.data(), response.size(), MSG_NOSIGNAL) <
                0)
                return;
        }
    }

    listening_port port;
    std::string response;
    std::string outcomes;
    std::atomic<std::size_t> read_requests{0};
    std::atomic<int> connection{-1};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace loopback

#endif
