/*! @file
 * @brief An event loop that is not run for a time, as in a process that gets no
 * processor time. */
#ifndef COURSEJUNCTION_TESTS_NET_STALLED_LOOP_HPP
#define COURSEJUNCTION_TESTS_NET_STALLED_LOOP_HPP

#include <atomic>

#include "coursejunction/net/event_loop.hpp"

namespace loopback
{

/*! @brief Holds up the thread of a loop until `release` or destruction. */
class stalled_loop
{
public:
    /*! @brief Holds up the loop as soon as its current work is done; may be
     * used on the loop's own thread. */
    explicit stalled_loop(coursejunction::event_loop& loop)
    {
        loop.post(
            [this]
            {
                stalled = true;
                stalled.notify_all();
                released.wait(false);
                resumed = true;
                resumed.notify_all();
            });
    }

    stalled_loop(const stalled_loop&) = delete;
    stalled_loop& operator=(const stalled_loop&) = delete;
    ~stalled_loop() { release(); }

    /*! @brief Waits until the loop is held up. */
    void wait() const { stalled.wait(false); }

    /*! @brief Lets the loop go on. */
    void release()
    {
        released = true;
        released.notify_all();
        resumed.wait(false);
    }

private:
    std::atomic<bool> stalled{false};
    std::atomic<bool> released{false};
    std::atomic<bool> resumed{false};
};

} // namespace loopback

#endif
