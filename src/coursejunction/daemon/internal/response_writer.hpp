/*! @file
 * @brief Writes responses to callers.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_RESPONSE_WRITER_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_RESPONSE_WRITER_HPP

#include <cstddef>
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

/*! @brief Writes responses to callers, whole or event by event, and the final
 * outcome of requests that failed. */
class response_writer
{
public:
    /*! @param replicas Claims that the key-value service may have lost; must
     * outlive the writer. */
    response_writer(node& owner, replicated_claims& replicas);

    /*! @brief Starts a stream of events. */
    void begin_stream(live_request& request);

    /*! @brief Writes events to the caller: immediately, or with the next flush
     * if the last write was less than a flush interval ago. */
    void write_events(const live_request_pointer& request,
                      const std::string& events);

    /*! @brief Finishes a request that an upstream answered completely. */
    void finish_answered(live_request& request,
                         const message::answer_end& head);

    /*! @brief Finishes a request that no upstream answered. The outcome is
     * "not run" only if no attempt may have run and, for a request that must
     * not run twice, if no claim of its id is known. */
    void finish_failed(const live_request_pointer& request,
                       attempt_failure failure);

    /*! @brief Returns the number of failed requests whose outcome is still
     * being looked up, so that they have no final response yet. */
    [[nodiscard]] std::size_t undecided() const { return undecided_count; }

    /*! @brief Responds to an invalid request with status 400. */
    static void reject_input(const std::shared_ptr<http_reply>& reply,
                             const std::string& error);

private:
    void check_replicas(const live_request_pointer& request,
                        attempt_failure failure);
    void write_decided(live_request& request, const attempt_failure& failure);
    void write_failure(live_request& request, const attempt_failure& failure);
    void flush();

    node& host;
    replicated_claims& claims;
    std::vector<live_request_pointer> unflushed;
    std::size_t undecided_count{0};
    timer flush_timer;
};

} // namespace internal

} // namespace coursejunction

#endif
