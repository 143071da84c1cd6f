/*! @file
 * @brief The second memory of claims, beside the key-value service.
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

/*! @brief Keeps claims at three entries each, drawn by the request's id, and
 * asks them. The key-value service may come back from a copy that lacks a
 * claim; its keepers still know of it, and so outlast the side that ran it. */
class replicated_claims
{
public:
    using done_callback = std::function<void(claim_verdict)>;

    explicit replicated_claims(node& owner);

    /*! @brief Notes a claim with its keepers; again is the same.
     * @param claimant The session that has it in the key-value service. */
    void record(const request_id& request, const std::string& claimant,
                done_callback done);

    /*! @brief Asks whether anybody has claimed a request. */
    void query(const request_id& request, done_callback done);

    /*! @brief Takes a frame of claims.
     * @return Whether it was one. */
    bool handle_frame(const instance_id& from, const frame& one);

    void peer_lost(const instance_id& peer);

private:
    struct question
    {
        claim_quorum tally;
        done_callback done;
        timer patience;
    };

    void ask(const request_id& request, const std::string& claimant,
             done_callback done);
    [[nodiscard]] bool taken(const message::claim_note& ask);
    [[nodiscard]] std::vector<instance_id>
    keepers_of(const digest& request) const;
    void settle(std::uint64_t number);

    node& host;
    claim_registry book;
    std::map<std::uint64_t, question> questions;
    /*! @brief Begins anywhere: an answer may come to another process of the
     * same instance. */
    std::uint64_t numbers;
};

} // namespace internal

} // namespace coursejunction

#endif
