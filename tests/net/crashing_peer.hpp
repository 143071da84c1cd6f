/*! @file
 * @brief An upstream that ends when a request begins to run on it.
 */
#ifndef COURSEJUNCTION_TESTS_NET_CRASHING_PEER_HPP
#define COURSEJUNCTION_TESTS_NET_CRASHING_PEER_HPP

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Reads the first request that comes, then ends as a process does: its
 * connections close and its address refuses further ones. */
class crashing_peer
{
public:
    crashing_peer() : crashing_peer(listening_port()) {}

    ~crashing_peer()
    {
        ::shutdown(file, SHUT_RDWR);
        thread.join();
    }

    crashing_peer(const crashing_peer&) = delete;
    crashing_peer& operator=(const crashing_peer&) = delete;

    /*! @brief Tells whether a request reached it. */
    [[nodiscard]] bool reached() const { return got; }

    std::string address;

private:
    explicit crashing_peer(const listening_port& port)
        : address(port.address), file(port.file)
    {
        thread = std::thread([this] { run(); });
    }

    void run()
    {
        const int caller = ::accept(file, nullptr, nullptr);
        if (caller >= 0)
        {
            char part[8192];
            got = ::recv(caller, part, sizeof part, 0) > 0;
        }
        ::close(file);
        if (caller >= 0)
            ::close(caller);
    }

    int file;
    std::atomic<bool> got{false};
    std::thread thread;
};

} // namespace loopback

#endif
