#include "coursejunction/daemon/internal/run_claims.hpp"

#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

constexpr std::chrono::hours session_ttl{24};
constexpr unsigned claim_attempts = 3;
constexpr milliseconds claim_retry{150};

} // namespace

run_claims::run_claims(node& owner, std::size_t remembered)
    : host(owner), notes(owner), session(remembered / 2)
{
}

void run_claims::claim(const request_id& request, done_callback done)
{
    auto one = std::make_shared<attempt>();
    one->request = request;
    one->done = std::move(done);
    acquire(one);
}

void run_claims::acquire(const attempt_pointer& one)
{
    one->retry.stop();
    if (!session.usable(node::now()))
        return open_session(one);
    ++one->tries;
    const auto used = session.use_for_claim();
    host.key_values().acquire(
        claim_key(one->request), used, host.settings().instance.value(),
        [this, one, used](swap_outcome end) { acquired(one, used, end); });
}

void run_claims::open_session(const attempt_pointer& one)
{
    host.key_values().open_session(
        std::chrono::duration_cast<std::chrono::seconds>(session_ttl),
        [this, one](result<std::string> opened)
        {
            if (!opened)
                return one->done(claim_result::unknown);
            session.open(opened.value(), node::now());
            acquire(one);
        });
}

void run_claims::acquired(const attempt_pointer& one, const std::string& used,
                          swap_outcome end)
{
    switch (end)
    {
    case swap_outcome::swapped:
        return note(one, used);
    case swap_outcome::lost_race:
        return one->done(claim_result::lost);
    case swap_outcome::no_session:
        session.invalidate(used);
        return acquire_later(one);
    case swap_outcome::not_sent:
    case swap_outcome::unknown:
        // The same session may acquire again: if the write took effect, the
        // next try says so.
        return acquire_later(one);
    }
}

void run_claims::acquire_later(const attempt_pointer& one)
{
    if (one->tries >= claim_attempts)
        return one->done(claim_result::unknown);
    one->retry = host.loop().after(claim_retry, [this, one] { acquire(one); });
}

/*! @brief The service has no other claim; whether it lost one, the keepers
 * say. Their notes stand before the request starts. */
void run_claims::note(const attempt_pointer& one, const std::string& used)
{
    notes.record(one->request, used,
                 [this, one](claim_verdict word)
                 {
                     switch (word)
                     {
                     case claim_verdict::free:
                         return one->done(claim_result::won);
                     case claim_verdict::taken:
                         host.counters().count("claims_lost_by_service_total");
                         log::warning("claim_lost_by_service",
                                      {{"request", one->request.value()}});
                         return one->done(claim_result::lost);
                     case claim_verdict::no_quorum:
                         return one->done(claim_result::unknown);
                     }
                 });
}

bool run_claims::handle_frame(const instance_id& from, const frame& one)
{
    return notes.handle_frame(from, one);
}

void run_claims::peer_lost(const instance_id& peer)
{
    notes.peer_lost(peer);
}

} // namespace coursejunction::internal
