/*! @file
 * @brief Replicas of claims at entries, in addition to the key-value service.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_REPLICATED_CLAIMS_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_REPLICATED_CLAIMS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coursejunction/core/types.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/run/claim_quorum.hpp"
#include "coursejunction/run/claim_registry.hpp"
#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

class node;

namespace internal
{

/*! @brief Stores each claim at three entries, its voters, which are chosen by
 * the request's id, and queries them. The key-value service may be rolled back
 * to a state that lacks a claim; the voters still have it, even after the
 * sidecar that ran the request has stopped. */
class replicated_claims
{
public:
    using done_callback = std::function<void(claim_verdict)>;

    explicit replicated_claims(node& owner);

    /*! @brief Records a claim at its voters; idempotent for one claimant.
     * @param claimant The session that holds the claim in the key-value
     * service. */
    void record(const request_id& request, const std::string& claimant,
                done_callback done);

    /*! @brief Asks the voters whether a request has been claimed. One that has
     * the claim decides; otherwise two of three must answer. */
    void query(const request_id& request, done_callback done);

    /*! @brief Handles a claim or query sent to this process as a voter, or a
     * voter's answer.
     * @return Whether the frame was one of these. */
    bool handle_frame(const instance_id& from, const frame& received);

    /*! @brief Stops waiting for a peer whose connection is lost. */
    void peer_lost(const instance_id& peer);

private:
    struct pending_vote
    {
        claim_quorum quorum;
        done_callback done;
        timer timeout;
    };

    void start_vote(const request_id& request, const std::string& claimant,
                    done_callback done);
    [[nodiscard]] bool is_taken(const message::claim_note& claim);
    [[nodiscard]] std::vector<instance_id>
    voters_of(const digest& request) const;
    void finish_if_decided(std::uint64_t number);

    node& host;
    claim_registry registry;
    std::map<std::uint64_t, pending_vote> pending;
    /*! @brief Starts at a random number: a late vote may reach a restarted
     * process of the same instance. */
    std::uint64_t last_number;
};

} // namespace internal

} // namespace coursejunction

#endif
