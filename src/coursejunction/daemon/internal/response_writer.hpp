/*! @file
 * @brief What callers are answered.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_RESPONSE_WRITER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_RESPONSE_WRITER_HPP

#include <memory>
#include <string>
#include <vector>

#include "coursejunction/daemon/internal/live_request.hpp"
#include "coursejunction/daemon/internal/replicated_claims.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/http_server.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

class node;

namespace internal
{

/*! @brief Gives callers their answers, whole or event by event, and the final
 * word on requests that got none. */
class response_writer
{
public:
    /*! @param kept Claims that the key-value service may have lost; it must
     * outlive the answers. */
    response_writer(node& owner, replicated_claims& kept);

    /*! @brief Begins a stream of events. */
    void begin_stream(live_request& one);

    /*! @brief Gives events to the caller: at once, unless the last ones were
     * given so shortly before that the next flush does for both. */
    void write_events(const live_request_pointer& one,
                      const std::string& events);

    /*! @brief Ends a request that an upstream has answered. */
    void finish_answered(live_request& one, const message::answer_end& head);

    /*! @brief Gives the final answer at once. "Not run" is said only when no
     * attempt may have run; for a request that may run only once, when nobody
     * else has claimed its id either. */
    void finish_failed(const live_request_pointer& one, attempt_failure end);

    /*! @brief Refuses what is no request. */
    static void reject_input(const std::shared_ptr<http_reply>& reply,
                             const std::string& fault);

private:
    void unclaimed(const live_request_pointer& one, attempt_failure end);
    void answer(live_request& one, const attempt_failure& end);
    void flush();

    node& host;
    replicated_claims& notes;
    std::vector<live_request_pointer> to_flush;
    timer flush_timer;
};

} // namespace internal

} // namespace coursejunction

#endif
