/*! @file
 * @brief A retry that the budget of its service has paid for. */
#ifndef COURSEJUNCTION_PROXY_RETRY_TOKEN_HPP
#define COURSEJUNCTION_PROXY_RETRY_TOKEN_HPP

#include <memory>
#include <utility>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/run/retry_window.hpp"

namespace coursejunction
{

/*! @brief Holds one retry of a window from its payment until it has arrived at
 * the upstream. When it is destroyed, a retry that was sent counts as arrived,
 * and one that was not sent is given back. */
class retry_token
{
public:
    /*! @param window That counted the retry as started. */
    explicit retry_token(std::shared_ptr<retry_window> window)
        : paid_by(std::move(window))
    {
    }

    ~retry_token()
    {
        if (sent)
            settle();
        else if (paid_by)
            paid_by->cancel_start();
    }

    retry_token(const retry_token&) = delete;
    retry_token& operator=(const retry_token&) = delete;

    /*! @brief Sets whether the request was sent, so that it may arrive. */
    void set_sent(bool is_sent) { sent = is_sent; }

    /*! @brief Counts the retry as arrived: its upstream has responded, or its
     * connection is closed. Later calls have no effect. */
    void settle()
    {
        if (const auto window = std::exchange(paid_by, nullptr))
            window->record_arrival(event_loop::now());
    }

private:
    std::shared_ptr<retry_window> paid_by; /*!< Null once it has arrived. */
    bool sent{false};
};

} // namespace coursejunction

#endif
