/*! @file
 * @brief What callers are answered.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_CALLER_ANSWERS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_CALLER_ANSWERS_HPP

#include <memory>
#include <string>
#include <vector>

#include "coursejunction/daemon/internal/claim_notes.hpp"
#include "coursejunction/daemon/internal/live_request.hpp"
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
class caller_answers
{
public:
    /*! @param kept Claims that the key-value service may have lost; it must
     * outlive the answers. */
    caller_answers(node& owner, claim_notes& kept);

    /*! @brief Begins a stream of events. */
    void begin(live_request& one);

    /*! @brief Gives events to the caller: at once, unless the last ones were
     * given so shortly before that the next flush does for both. */
    void give(const live_pointer& one, const std::string& events);

    /*! @brief Ends a request that an upstream has answered. */
    void answered(live_request& one, const message::answer_end& head);

    /*! @brief Gives the final answer at once. "Not run" is said only when no
     * attempt may have run; for a request that may run only once, when nobody
     * else has claimed its id either. */
    void conclude(const live_pointer& one, attempt_end end);

    /*! @brief Refuses what is no request. */
    static void refuse_input(const std::shared_ptr<http_reply>& reply,
                             const std::string& fault);

private:
    void unclaimed(const live_pointer& one, attempt_end end);
    void answer(live_request& one, const attempt_end& end);
    void flush();

    node& host;
    claim_notes& notes;
    std::vector<live_pointer> to_flush;
    timer flush_timer;
};

} // namespace internal

} // namespace coursejunction

#endif
