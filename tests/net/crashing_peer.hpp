/*! @file
 * @brief Test server that crashes on its first request.
 */
#ifndef COURSEJUNCTION_TESTS_NET_CRASHING_PEER_HPP
#define COURSEJUNCTION_TESTS_NET_CRASHING_PEER_HPP

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "net/loopback.hpp"

namespace loopback
{

/*! @brief Reads the first request, then behaves like a crashed process: its
 * connections close and its port refuses new ones. */
class crashing_peer
{
public:
    /*! @brief How it crashes. */
    struct manner
    {
        std::string answer;                 /*!< Bytes that it sends first. */
        std::chrono::milliseconds after{0}; /*!< Delay after the request. */
        std::chrono::milliseconds before_answer{0};
    };

    crashing_peer() : crashing_peer(manner{}) {}

    explicit crashing_peer(manner how)
        : crashing_peer(std::move(how), listening_port())
    {
    }

    ~crashing_peer()
    {
        ::shutdown(file, SHUT_RDWR);
        thread.join();
    }

    crashing_peer(const crashing_peer&) = delete;
    crashing_peer& operator=(const crashing_peer&) = delete;

    /*! @brief Returns whether a request was received. */
    [[nodiscard]] bool reached() const { return request_received; }

    /*! @brief Returns whether it has crashed. */
    [[nodiscard]] bool ended() const { return crashed; }

    std::string address;

private:
    crashing_peer(manner how, const listening_port& port)
        : address(port.address), crash(std::move(how)), file(port.file)
    {
        thread = std::thread([this] { run(); });
    }

    void run()
    {
        const int caller = ::accept(file, nullptr, nullptr);
        if (caller >= 0)
        {
            char part[8192];
            request_received = ::recv(caller, part, sizeof part, 0) > 0;
            std::this_thread::sleep_for(crash.before_answer);
            const auto done = ::send(caller, crash.answer.data(),
                                     crash.answer.size(), MSG_NOSIGNAL);
            static_cast<void>(done);
            std::this_thread::sleep_for(crash.after);
        }
        ::close(file);
        if (caller >= 0)
            ::close(caller);
        crashed = true;
    }

    manner crash;
    int file;
    std::atomic<bool> request_received{false};
    std::atomic<bool> crashed{false};
    std::thread thread;
};

} // namespace loopback

#endif
