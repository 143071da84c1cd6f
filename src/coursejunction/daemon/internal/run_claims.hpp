/*! @file
 * @brief Claims that a sidecar makes before it runs a request that must not run
 * twice.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_RUN_CLAIMS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_RUN_CLAIMS_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "coursejunction/control/key_value_client.hpp"
#include "coursejunction/daemon/internal/replicated_claims.hpp"
#include "coursejunction/run/claim_session.hpp"

namespace coursejunction::internal
{

/*! @brief Result of a claim. */
enum class claim_result : std::uint8_t
{
    won,    /*!< The request may start here and nowhere else. */
    lost,   /*!< Another sidecar holds the claim. */
    unknown /*!< The holder is not known; the request must not start now. */
};

/*! @brief Claims a request in the key-value service and then at its voters. A
 * request may start only when both claims succeed, since the service may have
 * lost an earlier claim. */
class run_claims
{
public:
    using done_callback = std::function<void(claim_result)>;

    /*! @param remembered Number of requests that the sidecar remembers; a
     * session makes at most half as many claims. */
    run_claims(node& owner, std::size_t remembered);

    /*! @brief Claims a request; the callback runs once. */
    void claim(const request_id& request, done_callback done);

    /*! @brief Handles a frame if it is about claims.
     * @return Whether it was. */
    bool handle_frame(const instance_id& from, const frame& received);

    /*! @brief Handles the loss of a peer's connection. */
    void peer_lost(const instance_id& peer);

private:
    struct pending_claim
    {
        request_id request;
        done_callback done;
        unsigned attempts{0};
        timer retry;
    };

    using claim_pointer = std::shared_ptr<pending_claim>;

    void acquire(const claim_pointer& pending);
    void open_session(const claim_pointer& pending);
    void acquired(const claim_pointer& pending, const std::string& session_id,
                  swap_outcome swapped);
    void acquire_later(const claim_pointer& pending);
    void record_at_voters(const claim_pointer& pending,
                          const std::string& session_id);

    node& host;
    replicated_claims replicas;
    claim_session session;
};

} // namespace coursejunction::internal

#endif
