/*! @file
 * @brief Lets only one process send commands to an upstream.
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

/*! @brief Acquires the fencing token of an instance's upstream at the key-value
 * service, and confirms it before a command when that is necessary. */
class fenced_commands
{
public:
    using decision_callback = std::function<void()>;

    /*! @param allowed Called when a command may be sent now.
     * @param refused Called when another process has a newer token. */
    fenced_commands(node& owner, decision_callback allowed,
                    decision_callback refused);

    /*! @brief Asks for permission to send a command; one of the callbacks
     * follows. Retries as long as the key-value service does not answer. */
    void authorize();

    /*! @brief Called regularly.
     * @return Whether this process turns out to have been suspended. */
    bool tick(time_point now) { return guard.tick(now); }

    /*! @brief Records that a command was sent. */
    void command_sent() { guard.command_sent(); }

    /*! @brief Records the highest token that the upstream has seen. The next
     * token is higher, even if the service has lost the newest one. */
    void record_seen_token(fencing_token newest)
    {
        highest_seen = std::max(highest_seen, newest);
    }

    /*! @brief Records that the upstream rejected the token as outdated. */
    void token_rejected() { guard.token_rejected(); }

    /*! @brief Returns the token; empty before one is acquired. */
    [[nodiscard]] fencing_token token() const { return guard.token(); }

private:
    void authorize_later();
    void acquire_token();
    void acquire_next_token(const stored_value& stored);
    void token_written(fencing_token next, swap_outcome swapped);
    void confirm_token();
    [[nodiscard]] std::string owner_id() const;

    node& host;
    decision_callback allow;
    decision_callback refuse;
    fence guard;
    fencing_token highest_seen;
    std::string process_id;
    timer retry;
};

} // namespace internal

} // namespace coursejunction

#endif
