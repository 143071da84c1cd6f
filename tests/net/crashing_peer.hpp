/*! @file
 * @brief An upstream that ends when a request begins to run on it.
 */
#ifndef COURSEJUNCTION_TESTS_NET_CRASHING_PEER_HPP
#define COURSEJUNCTION_TESTS_NET_CRASHING_PEER_HPP

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>

namespace loopback
{

/*! @brief Reads the first request that comes, then ends as a process does: its
 * connections close and its address refuses further ones. */
class crashing_peer
{
public:
    crashing_peer() : file(::socket(AF_INET, SOCK_STREAM, 0))
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
        thread = std::thread([this] { run(); });
    }

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
