#include "coursejunction/daemon/internal/replicated_claims.hpp"

#include <set>
#include <utility>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Entries that store a claim. */
constexpr std::size_t voters_per_claim = 3;

/*! @brief Claims that an entry stores; about 200 bytes each. */
constexpr std::size_t max_stored_claims = 100'000;

/*! @brief Time within which a live voter answers, also from another region. */
constexpr milliseconds vote_timeout{300};

} // namespace

replicated_claims::replicated_claims(node& owner)
    : host(owner), registry(max_stored_claims),
      last_number(stable_hash(random_id()))
{
}

void replicated_claims::record(const request_id& request,
                               const std::string& claimant, done_callback done)
{
    start_vote(request, claimant, std::move(done));
}

void replicated_claims::query(const request_id& request, done_callback done)
{
    start_vote(request, {}, std::move(done));
}

void replicated_claims::start_vote(const request_id& request,
                                   const std::string& claimant,
                                   done_callback done)
{
    const message::claim_note claim{++last_number, digest::of(request.value()),
                                    claimant};
    const auto voters = voters_of(claim.request);
    auto& vote =
        pending
            .emplace(claim.number,
                     pending_vote{claim_quorum({voters.begin(), voters.end()}),
                                  std::move(done),
                                  {}})
            .first->second;
    for (const auto& voter : voters)
    {
        if (voter == host.settings().instance)
            vote.quorum.add_answer(voter, is_taken(claim));
        else if (!host.send(voter, claim))
            vote.quorum.drop_voter(voter);
    }
    vote.timeout =
        host.loop().after(vote_timeout,
                          [this, number = claim.number]
                          {
                              pending.at(number).quorum.stop_waiting();
                              finish_if_decided(number);
                          });
    finish_if_decided(claim.number);
}

/*! @brief Chooses among all listed entries, not only the reachable ones, so
 * that processes with different views of the membership ask the same voters. */
std::vector<instance_id>
replicated_claims::voters_of(const digest& request) const
{
    std::vector<instance_id> entries;
    for (const auto& [id, member] : host.members().all())
    {
        if (member.kind == role::entry)
            entries.push_back(id);
    }
    return rendezvous_rank(request.hex(), entries, voters_per_claim);
}

bool replicated_claims::is_taken(const message::claim_note& claim)
{
    return claim.claimant.empty()
               ? registry.contains(claim.request, node::now())
               : !registry.try_claim(claim.request, claim.claimant,
                                     node::now());
}

bool replicated_claims::handle_frame(const instance_id& from,
                                     const frame& received)
{
    if (received.type == frame_type::claim_note)
    {
        const auto claim = decode<message::claim_note>(received.head);
        if (claim)
            host.send(from, message::claim_answer{claim.value().number,
                                                  is_taken(claim.value())});
        return true;
    }
    if (received.type == frame_type::claim_answer)
    {
        const auto answer = decode<message::claim_answer>(received.head);
        const auto found =
            answer ? pending.find(answer.value().number) : pending.end();
        if (found == pending.end())
            return true;
        found->second.quorum.add_answer(from, answer.value().taken);
        finish_if_decided(found->first);
        return true;
    }
    return false;
}

void replicated_claims::peer_lost(const instance_id& peer)
{
    std::vector<std::uint64_t> numbers;
    for (auto& [number, vote] : pending)
    {
        vote.quorum.drop_voter(peer);
        numbers.push_back(number);
    }
    for (const auto number : numbers)
        finish_if_decided(number);
}

/*! @brief Calls back when the voters have decided. */
void replicated_claims::finish_if_decided(std::uint64_t number)
{
    const auto found = pending.find(number);
    const auto verdict =
        found == pending.end() ? std::nullopt : found->second.quorum.verdict();
    if (!verdict)
        return;
    const auto decided = std::move(found->second);
    pending.erase(found);
    decided.done(*verdict);
}

} // namespace coursejunction::internal
