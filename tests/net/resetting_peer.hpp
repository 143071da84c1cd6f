/*! @file
 * @brief A server on the loopback interface that keeps connections open and
 * loses some of its responses by a reset. */
#ifndef COURSEJUNCTION_TESTS_NET_RESETTING_PEER_HPP
#define COURSEJUNCTION_TESTS_NET_RESETTING_PEER_HPP

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Reads one request after the other on each connection, each in one
 * segment, and either responds or resets the connection. */
class resetting_peer
{
public:
    /*! @param answer Sent where a request is not lost.
     * @param scripts For each connection, and for all later ones the last, what
     * happens to its requests in turn: `a`, answered, `r`, read and then
     * reset, `h`, read and not answered, `c`, `cut_answer` and a close, or `x`,
     * `cut_answer` and a reset.
     * @param cut_answer The first bytes of a response. */
    resetting_peer(std::string answer, std::vector<std::string> scripts,
                   std::string cut_answer = {})
        : response(std::move(answer)), outcomes(std::move(scripts)),
          cut_response(std::move(cut_answer)), thread([this] { run(); })
    {
    }

    ~resetting_peer()
    {
        ::shutdown(port.file, SHUT_RDWR);
        thread.join();
        ::close(port.file);
        for (const int connection : connections)
            ::shutdown(connection, SHUT_RDWR);
        for (auto& server : servers)
            server.join();
        for (const int connection : connections)
            ::close(connection);
    }

    resetting_peer(const resetting_peer&) = delete;
    resetting_peer& operator=(const resetting_peer&) = delete;

    [[nodiscard]] const std::string& address() const { return port.address; }

    /*! @brief Returns how many requests were read. */
    [[nodiscard]] std::size_t arrivals() const { return read_requests; }

private:
    void run()
    {
        for (int caller = 0;
             (caller = ::accept(port.file, nullptr, nullptr)) >= 0;)
        {
            const auto& script =
                outcomes[std::min(connections.size(), outcomes.size() - 1)];
            connections.push_back(caller);
            servers.emplace_back([this, caller, script]
                                 { serve(caller, script); });
        }
    }

    void serve(int caller, const std::string& script)
    {
        char part[8192];
        for (const char outcome : script)
        {
            if (::recv(caller, part, sizeof part, 0) <= 0)
                return;
            ++read_requests;
            if (outcome == 'r')
                return reset(caller);
            if (outcome == 'h')
                continue;
            if (outcome == 'c' || outcome == 'x')
                return cut(caller, outcome == 'x');
            if (::send(caller, response.data(), response.size(), MSG_NOSIGNAL) <
                0)
                return;
        }
    }

    /*! @brief Sends the first bytes of a response, and ends the connection once
     * they have arrived. */
    void cut(int caller, bool by_reset) const
    {
        const auto done = ::send(caller, cut_response.data(),
                                 cut_response.size(), MSG_NOSIGNAL);
        static_cast<void>(done);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        if (by_reset)
            return reset(caller);
        ::shutdown(caller, SHUT_RDWR);
    }

    /*! @brief Resets a connection; its descriptor stays open. */
    static void reset(int connection)
    {
        sockaddr unspecified{};
        unspecified.sa_family = AF_UNSPEC;
        ::connect(connection, &unspecified, sizeof unspecified);
    }

    listening_port port;
    std::string response;
    std::vector<std::string> outcomes;
    std::string cut_response;
    std::atomic<std::size_t> read_requests{0};
    std::vector<int> connections; /*!< Of the accepting thread until it ends. */
    std::vector<std::thread> servers;
    std::thread thread;
};

} // namespace loopback

#endif
