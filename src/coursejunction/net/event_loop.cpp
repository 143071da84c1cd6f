#include "coursejunction/net/event_loop.hpp"

#include <ctime>
#include <list>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coursejunction/core/input_clock.hpp"
#include "coursejunction/core/suspension.hpp"

namespace coursejunction
{

namespace asio = boost::asio;

namespace internal
{

/*! @brief Waits for a signal, and again after each: otherwise the default
 * action of a second signal would end the process. */
void wait_for_signal(asio::signal_set& set,
                     const std::shared_ptr<event_loop::work>& task)
{
    set.async_wait(
        [&set, task](const boost::system::error_code& fault, int)
        {
            if (fault)
                return;
            wait_for_signal(set, task);
            (*task)();
        });
}

} // namespace internal

class timer::state : public std::enable_shared_from_this<timer::state>
{
public:
    state(asio::io_context& context, std::chrono::microseconds repeat,
          event_loop::work task)
        : clock(context), interval(repeat), call(std::move(task))
    {
    }

    void start(std::chrono::microseconds delay)
    {
        due = event_loop::now() + delay;
        wait();
    }

    void stop()
    {
        stopped = true;
        clock.cancel();
    }

private:
    void wait()
    {
        caught_up = false;
        wait_for(timer_wait(due, event_loop::now()));
    }

    void wait_for(std::chrono::microseconds pause)
    {
        clock.expires_after(pause);
        clock.async_wait(
            [self = shared_from_this()](const boost::system::error_code& fault)
            { self->expired(fault); });
    }

    void expired(const boost::system::error_code& fault)
    {
        if (fault || stopped)
            return;
        const auto now = event_loop::now();
        if (now < due)
            return wait();
        if (!std::exchange(caught_up, true) && indicates_suspension(due, now))
            return wait_for(resume_read_time);
        if (interval.count() > 0)
            start(interval);
        const auto task = call;
        task();
    }

    asio::steady_timer clock;
    std::chrono::microseconds interval;
    event_loop::work call;
    time_point due{};
    bool caught_up{false};
    bool stopped{false};
};

timer::timer(std::shared_ptr<state> shared) : running(std::move(shared)) {}

timer& timer::operator=(timer&& other) noexcept
{
    stop();
    running = std::move(other.running);
    return *this;
}

timer::~timer()
{
    stop();
}

void timer::stop()
{
    if (running)
        running->stop();
    running.reset();
}

struct event_loop::implementation
{
    /*! @brief Waits for the next turn that is recorded. Not a `timer`: these
     * are held up when they are late, so that input is read first. */
    void await_turn()
    {
        turn_timer.expires_after(input_clock::interval);
        turn_timer.async_wait(
            [this](const boost::system::error_code& fault)
            {
                if (fault)
                    return;
                input.record_turn(event_loop::now());
                await_turn();
            });
    }

    asio::io_context context{1};
    std::list<asio::signal_set> signals;
    asio::steady_timer turn_timer{context};
    input_clock input;
};

event_loop::event_loop() : self(std::make_unique<implementation>()) {}

event_loop::~event_loop() = default;

void event_loop::run()
{
    auto guard = asio::make_work_guard(self->context);
    self->context.run();
}

void event_loop::stop()
{
    self->context.stop();
}

void event_loop::post(work task)
{
    asio::post(self->context, std::move(task));
}

timer event_loop::after(std::chrono::microseconds delay, work task)
{
    auto state = std::make_shared<timer::state>(
        self->context, std::chrono::microseconds(0), std::move(task));
    state->start(delay);
    return timer(std::move(state));
}

timer event_loop::every(std::chrono::microseconds interval, work task)
{
    auto state = std::make_shared<timer::state>(self->context, interval,
                                                std::move(task));
    state->start(interval);
    return timer(std::move(state));
}

void event_loop::on_signal(int number, work task)
{
    auto& set = self->signals.emplace_back(self->context, number);
    internal::wait_for_signal(set, std::make_shared<work>(std::move(task)));
}

void event_loop::track_input_age()
{
    self->await_turn();
}

time_point event_loop::input_arrived_after() const
{
    return self->input.arrived_after(now());
}

std::chrono::microseconds event_loop::input_lag() const
{
    return self->input.lag(now());
}

time_point event_loop::now()
{
    // std::chrono::steady_clock stops while an instance is suspended, so every
    // lease, report and deadline would appear younger than it is.
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    constexpr std::int64_t nanoseconds_per_microsecond = 1000;
    return time_point(
        std::chrono::seconds(read.tv_sec) +
        std::chrono::microseconds(read.tv_nsec / nanoseconds_per_microsecond));
}

std::chrono::microseconds event_loop::awake_time()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now().time_since_epoch());
}

void* event_loop::native() noexcept
{
    return &self->context;
}

} // namespace coursejunction
