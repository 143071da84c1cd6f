/*! @file
 * @brief One write of the platform's store at a time, with pauses.
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

/*! @brief What became of a write. */
enum class write_outcome : std::uint8_t
{
    written,
    conflict, /*!< The key is at another revision. */
    failed
};

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

/*! @brief Lets one write run at a time and counts what became of each. */
class key_writer
{
public:
    using answer_callback = std::function<void(result<bool>)>;

    /*! @brief Told what became of a write, and why it failed. */
    using ended_callback =
        std::function<void(write_outcome outcome, const std::string& why)>;

    /*! @param counter Of writes, by their result.
     * @param between Pauses. */
    key_writer(event_loop& owner, metrics& counted, std::string counter,
               backoff between)
        : loop(owner), counters(counted), counter_name(std::move(counter)),
          pauses(between)
    {
    }

    /*! @brief Tells whether a write or a pause runs. */
    [[nodiscard]] bool busy() const noexcept { return under_way || resting; }

    /*! @brief Begins a write.
     * @return What is to be called with the store's answer. */
    [[nodiscard]] answer_callback begin(ended_callback done)
    {
        under_way = true;
        return [this, call = std::move(done)](const result<bool>& answer)
        { ended(call, answer); };
    }

    /*! @brief Writes nothing for a while, longer each time. */
    void rest(std::function<void()> then = {})
    {
        resting = true;
        again = loop.after(pauses.next(),
                           [this, call = std::move(then)]
                           {
                               resting = false;
                               // It may rest again, which ends this timer.
                               if (const auto next = call)
                                   next();
                           });
    }

    /*! @brief The next pause is a first one. */
    void succeeded() noexcept { pauses.reset(); }

private:
    void ended(const ended_callback& done, const result<bool>& answer)
    {
        under_way = false;
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
    backoff pauses;
    bool under_way{false};
    bool resting{false};
    timer again;
};

} // namespace coursejunction

#endif
