#include "coursejunction/daemon/internal/replicated_claims.hpp"

#include <set>
#include <utility>

#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Entries that remember a claim. */
constexpr std::size_t keepers_per_claim = 3;

/*! @brief Claims that an entry remembers, some 200 bytes each. */
constexpr std::size_t remembered_claims = 100'000;

/*! @brief Time in which a keeper that lives answers, also from far away. */
constexpr milliseconds keeper_patience{300};

} // namespace

replicated_claims::replicated_claims(node& owner)
    : host(owner), book(remembered_claims), numbers(stable_hash(random_id()))
{
}

void replicated_claims::record(const request_id& request,
                               const std::string& claimant, done_callback done)
{
    ask(request, claimant, std::move(done));
}

void replicated_claims::query(const request_id& request, done_callback done)
{
    ask(request, {}, std::move(done));
}

void replicated_claims::ask(const request_id& request,
                            const std::string& claimant, done_callback done)
{
    const message::claim_note note{++numbers, digest::of(request.value()),
                                   claimant};
    const auto keepers = keepers_of(note.request);
    auto& one =
        questions
            .emplace(note.number,
                     question{claim_quorum({keepers.begin(), keepers.end()}),
                              std::move(done),
                              {}})
            .first->second;
    for (const auto& keeper : keepers)
    {
        if (keeper == host.settings().instance)
            one.tally.add_answer(keeper, taken(note));
        else if (!host.send(keeper, note))
            one.tally.drop_voter(keeper);
    }
    one.patience =
        host.loop().after(keeper_patience,
                          [this, number = note.number]
                          {
                              questions.at(number).tally.stop_waiting();
                              settle(number);
                          });
    settle(note.number);
}

/*! @brief Keepers are drawn among all listed entries, so that processes that
 * differ in whom they hear from still ask the same. */
std::vector<instance_id>
replicated_claims::keepers_of(const digest& request) const
{
    std::vector<instance_id> entries;
    for (const auto& [id, one] : host.members().all())
    {
        if (one.kind == role::entry)
            entries.push_back(id);
    }
    return rendezvous_rank(request.hex(), entries, keepers_per_claim);
}

bool replicated_claims::taken(const message::claim_note& ask)
{
    return ask.claimant.empty()
               ? book.contains(ask.request, node::now())
               : !book.try_claim(ask.request, ask.claimant, node::now());
}

bool replicated_claims::handle_frame(const instance_id& from, const frame& one)
{
    if (one.type == frame_type::claim_note)
    {
        const auto ask = decode<message::claim_note>(one.head);
        if (ask)
            host.send(from, message::claim_answer{ask.value().number,
                                                  taken(ask.value())});
        return true;
    }
    if (one.type == frame_type::claim_answer)
    {
        const auto answer = decode<message::claim_answer>(one.head);
        const auto found =
            answer ? questions.find(answer.value().number) : questions.end();
        if (found == questions.end())
            return true;
        found->second.tally.add_answer(from, answer.value().taken);
        settle(found->first);
        return true;
    }
    return false;
}

void replicated_claims::peer_lost(const instance_id& peer)
{
    std::vector<std::uint64_t> open;
    for (auto& [number, one] : questions)
    {
        one.tally.drop_voter(peer);
        open.push_back(number);
    }
    for (const auto number : open)
        settle(number);
}

/*! @brief Gives the word when it is settled. */
void replicated_claims::settle(std::uint64_t number)
{
    const auto found = questions.find(number);
    const auto word =
        found == questions.end() ? std::nullopt : found->second.tally.verdict();
    if (!word)
        return;
    const auto ended = std::move(found->second);
    questions.erase(found);
    ended.done(*word);
}

} // namespace coursejunction::internal
