/*! @file
 * @brief An upstream that ends when a request begins to run on it.
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

/*! @brief Reads the first request that comes, then ends as a process does: its
 * connections close and its address refuses further ones. */
class crashing_peer
{
public:
    /*! @brief How it ends. */
    struct manner
    {
        std::string answer;                 /*!< What it sends before. */
        std::chrono::milliseconds after{0}; /*!< Since the request came. */
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

    /*! @brief Tells whether a request reached it. */
    [[nodiscard]] bool reached() const { return got; }

    /*! @brief Tells whether it has ended. */
    [[nodiscard]] bool ended() const { return over; }

    std::string address;

private:
    crashing_peer(manner how, const listening_port& port)
        : address(port.address), ends(std::move(how)), file(port.file)
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
            const auto done = ::send(caller, ends.answer.data(),
                                     ends.answer.size(), MSG_NOSIGNAL);
            static_cast<void>(done);
            std::this_thread::sleep_for(ends.after);
        }
        ::close(file);
        if (caller >= 0)
            ::close(caller);
        over = true;
    }

    manner ends;
    int file;
    std::atomic<bool> got{false};
    std::atomic<bool> over{false};
    std::thread thread;
};

} // namespace loopback

#endif
