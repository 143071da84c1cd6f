/*! @file
 * @brief Serializes writes to the platform's store, with backoff in between.
 */
#ifndef COURSEJUNCTION_FLEET_KEY_WRITER_HPP
#define COURSEJUNCTION_FLEET_KEY_WRITER_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "coursejunction/core/backoff.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"

namespace coursejunction
{

/*! @brief The outcome of a write. */
enum class write_outcome : std::uint8_t
{
    written,
    conflict, /*!< The key was at another revision. */
    failed
};

/*! @brief Returns an outcome's name in logs and metrics. */
[[nodiscard]] inline std::string write_outcome_name(write_outcome outcome)
{
    switch (outcome)
    {
    case write_outcome::written:
        return "written";
    case write_outcome::conflict:
        return "outrun";
    case write_outcome::failed:
        break;
    }
    return "failed";
}

/*! @brief Allows one write at a time, counts the outcomes and delays further
 * writes. The caller makes the write itself, while `busy()` is false, and
 * passes the callback of `begin()` to the store. */
class key_writer
{
public:
    using store_callback = std::function<void(result<bool>)>;

    /*! @brief Receives the outcome, and the error message of a failed write. */
    using outcome_callback =
        std::function<void(write_outcome outcome, const std::string& why)>;

    /*! @param counter Name of the counter of writes, by `result`.
     * @param policy Delays after writes, see `back_off()`. */
    key_writer(event_loop& owner, metrics& registry, std::string counter,
               backoff policy)
        : loop(owner), counters(registry), counter_name(std::move(counter)),
          delays(policy)
    {
    }

    /*! @brief Returns whether a write is in flight or a delay is running. */
    [[nodiscard]] bool busy() const noexcept
    {
        return in_flight || backing_off;
    }

    /*! @brief Begins a write.
     * @param done Called with its outcome.
     * @return The callback for the store's answer. */
    [[nodiscard]] store_callback begin(outcome_callback done)
    {
        in_flight = true;
        return [this, callback = std::move(done)](const result<bool>& answer)
        { finish(callback, answer); };
    }

    /*! @brief Delays the next write, by longer each time until
     * `reset_backoff()`.
     * @param then Called at the end of the delay. */
    void back_off(std::function<void()> then = {})
    {
        backing_off = true;
        delay_timer = loop.after(delays.next(),
                                 [this, callback = std::move(then)]
                                 {
                                     backing_off = false;
                                     // A copy: the callback may back off again,
                                     // which destroys this timer and its
                                     // closure.
                                     if (const auto next = callback)
                                         next();
                                 });
    }

    /*! @brief Restarts the delays from the shortest. */
    void reset_backoff() noexcept { delays.reset(); }

private:
    void finish(const outcome_callback& done, const result<bool>& answer)
    {
        in_flight = false;
        const auto outcome = !answer          ? write_outcome::failed
                             : answer.value() ? write_outcome::written
                                              : write_outcome::conflict;
        counters.count(counter_name, 1,
                       {{"result", write_outcome_name(outcome)}});
        done(outcome, answer ? std::string() : answer.error().message);
    }

    event_loop& loop;
    metrics& counters;
    std::string counter_name;
    backoff delays;
    bool in_flight{false};
    bool backing_off{false};
    timer delay_timer;
};

} // namespace coursejunction

#endif
