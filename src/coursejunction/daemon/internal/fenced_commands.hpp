/*! @file
 * @brief Sees that only one process gives orders to an upstream.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_FENCED_COMMANDS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_FENCED_COMMANDS_HPP

#include <algorithm>
#include <functional>
#include <string>

#include "coursejunction/control/configuration_writer.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/rollout/fence.hpp"

namespace coursejunction
{

class node;

namespace internal
{

/*! @brief Takes and confirms the fencing token of an instance's upstream at
 * the key-value service, before each order as far as that is needed. */
class fenced_commands
{
public:
    using order_callback = std::function<void()>;

    /*! @param allowed Called when an order may be given now.
     * @param refused Called when another process is in charge. */
    fenced_commands(node& owner, order_callback allowed,
                    order_callback refused);

    /*! @brief Asks to give an order; one of the callbacks follows. */
    void authorize();

    /*! @brief Called regularly.
     * @return Whether a pause of this process was noticed. */
    bool tick(time_point now) { return guard.tick(now); }

    /*! @brief An order was given. */
    void command_sent() { guard.command_sent(); }

    /*! @brief The upstream has seen this token. The next one that is taken is
     * above it, also when the service has lost the newest. */
    void record_seen_token(fencing_token newest)
    {
        highest = std::max(highest, newest);
    }

    /*! @brief The upstream refused the token as old. */
    void token_rejected() { guard.token_rejected(); }

    /*! @brief Returns the token; empty before one was taken. */
    [[nodiscard]] fencing_token token() const { return guard.token(); }

private:
    void request_later();
    void take_token();
    void take_after(const stored_value& stored);
    void taken(fencing_token next, swap_outcome done);
    void confirm_token();
    [[nodiscard]] std::string owner_text() const;

    node& host;
    order_callback allow;
    order_callback refuse;
    fence guard;
    fencing_token highest;
    std::string process_id;
    timer again;
};

} // namespace internal

} // namespace coursejunction

#endif
