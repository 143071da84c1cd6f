/*! @file
 * @brief The one thread of a process on which all decisions are taken.
 */
#ifndef COURSEJUNCTION_NET_EVENT_LOOP_HPP
#define COURSEJUNCTION_NET_EVENT_LOOP_HPP

#include <functional>
#include <memory>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"

namespace coursejunction
{

/*! @brief A timer; destroying it stops it. */
class timer
{
public:
    class state;

    timer() = default;
    explicit timer(std::shared_ptr<state> shared);
    timer(timer&&) noexcept = default;
    timer& operator=(timer&& other) noexcept;
    ~timer();

    /*! @brief Stops the timer. */
    void stop();

private:
    std::shared_ptr<state> running;
};

/*! @brief Runs posted work and timers on one thread. */
class event_loop
{
public:
    using work = std::function<void()>;

    event_loop();
    ~event_loop();

    /*! @brief Runs until `stop`. */
    void run();

    /*! @brief Ends `run`; may be called from any thread. */
    void stop();

    /*! @brief Runs work on the loop's thread; may be called from any. */
    void post(work task);

    /*! @brief Runs work once after a delay.
     * @warning The timer must be kept. */
    [[nodiscard]] timer after(std::chrono::microseconds delay, work task);

    /*! @brief Runs work again and again.
     * @warning The timer must be kept. */
    [[nodiscard]] timer every(std::chrono::microseconds interval, work task);

    /*! @brief Calls work when a signal arrives. */
    void on_signal(int number, work task);

    /*! @brief Returns the monotonic time, which goes on while the instance is
     * suspended. */
    [[nodiscard]] static time_point now();

    /*! @brief Returns the time that the instance was not suspended. */
    [[nodiscard]] static std::chrono::microseconds awake();

    /*! @brief Returns the library's context, for this module only. */
    [[nodiscard]] void* native() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
