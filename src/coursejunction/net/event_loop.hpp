/*! @file
 * @brief Event loop of a process; its state is only changed on the loop's
 * thread.
 */
#ifndef COURSEJUNCTION_NET_EVENT_LOOP_HPP
#define COURSEJUNCTION_NET_EVENT_LOOP_HPP

#include <functional>
#include <memory>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/fwd.hpp"

namespace coursejunction
{

/*! @brief Handle of a running timer; its destruction stops the timer. */
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

    /*! @brief Queues work for the loop's thread; may be called from any thread.
     */
    void post(work task);

    /*! @brief Runs work once after a delay.
     * @warning Discarding the returned timer stops it. */
    [[nodiscard]] timer after(std::chrono::microseconds delay, work task);

    /*! @brief Runs work at an interval, first after one interval.
     * @warning Discarding the returned timer stops it. */
    [[nodiscard]] timer every(std::chrono::microseconds interval, work task);

    /*! @brief Runs work on the loop's thread each time a signal arrives. */
    void on_signal(int number, work task);

    /*! @brief Returns the monotonic time, including time during which the
     * instance was suspended. */
    [[nodiscard]] static time_point now();

    /*! @brief Returns the monotonic time without the time during which the
     * instance was suspended. */
    [[nodiscard]] static std::chrono::microseconds awake_time();

    /*! @brief Starts to bound the age of input; wakes the loop at the interval
     * of `input_clock`. */
    void track_input_age();

    /*! @brief Returns a time after which input that is read now has arrived;
     * the current time unless `track_input_age` was called. */
    [[nodiscard]] time_point input_arrived_after() const;

    /*! @brief Returns how far the loop is behind its input; zero if it is not
     * known. */
    [[nodiscard]] std::chrono::microseconds input_lag() const;

    /*! @brief Returns the `boost::asio::io_context`; only for the net module.
     */
    [[nodiscard]] void* native() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
