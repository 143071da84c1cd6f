#include "coursejunction/daemon/internal/run_claims.hpp"

#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief How long the key-value service keeps a session and its claims. */
constexpr std::chrono::hours session_ttl{24};
constexpr unsigned max_claim_attempts = 3;
constexpr milliseconds claim_retry_delay{150};

} // namespace

run_claims::run_claims(node& owner, std::size_t remembered)
    : host(owner), replicas(owner), session(remembered / 2)
{
}

void run_claims::claim(const request_id& request, done_callback done)
{
    auto pending = std::make_shared<pending_claim>();
    pending->request = request;
    pending->done = std::move(done);
    acquire(pending);
}

void run_claims::acquire(const claim_pointer& pending)
{
    pending->retry.stop();
    if (!session.usable(node::now()))
        return open_session(pending);
    ++pending->attempts;
    const auto session_id = session.use_for_claim();
    host.key_values().acquire(claim_key(pending->request), session_id,
                              host.settings().instance.value(),
                              [this, pending, session_id](swap_outcome swapped)
                              { acquired(pending, session_id, swapped); });
}

void run_claims::open_session(const claim_pointer& pending)
{
    host.key_values().open_session(
        std::chrono::duration_cast<std::chrono::seconds>(session_ttl),
        [this, pending](result<std::string> opened)
        {
            if (!opened)
                return pending->done(claim_result::unknown);
            session.open(opened.value(), node::now());
            acquire(pending);
        });
}

void run_claims::acquired(const claim_pointer& pending,
                          const std::string& session_id, swap_outcome swapped)
{
    switch (swapped)
    {
    case swap_outcome::swapped:
        return record_at_voters(pending, session_id);
    case swap_outcome::lost_race:
        return pending->done(claim_result::lost);
    case swap_outcome::no_session:
        session.invalidate(session_id);
        return acquire_later(pending);
    case swap_outcome::not_sent:
    case swap_outcome::unknown:
        // The same session may acquire the key again: if the write took
        // effect, the next attempt succeeds as well.
        return acquire_later(pending);
    }
}

void run_claims::acquire_later(const claim_pointer& pending)
{
    if (pending->attempts >= max_claim_attempts)
        return pending->done(claim_result::unknown);
    pending->retry = host.loop().after(claim_retry_delay,
                                       [this, pending] { acquire(pending); });
}

/*! @brief Records a claim that the service granted at its voters. They tell
 * whether the service has lost an earlier claim, and they store this one before
 * the request starts. */
void run_claims::record_at_voters(const claim_pointer& pending,
                                  const std::string& session_id)
{
    replicas.record(
        pending->request, session_id,
        [this, pending](claim_verdict verdict)
        {
            switch (verdict)
            {
            case claim_verdict::free:
                return pending->done(claim_result::won);
            case claim_verdict::taken:
                host.counters().count("claims_lost_by_service_total");
                log::warning("claim_lost_by_service",
                             {{"request", pending->request.value()}});
                return pending->done(claim_result::lost);
            case claim_verdict::no_quorum:
                return pending->done(claim_result::unknown);
            }
        });
}

bool run_claims::handle_frame(const instance_id& from, const frame& received)
{
    return replicas.handle_frame(from, received);
}

void run_claims::peer_lost(const instance_id& peer)
{
    replicas.peer_lost(peer);
}

} // namespace coursejunction::internal
