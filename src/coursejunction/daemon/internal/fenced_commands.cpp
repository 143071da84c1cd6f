#include "coursejunction/daemon/internal/fenced_commands.hpp"

#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/internal/token_record.hpp"
#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Delay before the next attempt when the service gave no token. */
constexpr milliseconds token_retry_delay{300};

} // namespace

fenced_commands::fenced_commands(node& owner, decision_callback allowed,
                                 decision_callback refused)
    : host(owner), allow(std::move(allowed)), refuse(std::move(refused)),
      guard(owner.settings().upstream_checks_fencing), process_id(random_id())
{
}

void fenced_commands::authorize()
{
    switch (guard.state())
    {
    case fence_state::held:
        return allow();
    case fence_state::none:
        return acquire_token();
    case fence_state::unconfirmed:
        return confirm_token();
    case fence_state::lost:
        return refuse();
    }
}

void fenced_commands::authorize_later()
{
    retry = host.loop().after(token_retry_delay, [this] { authorize(); });
}

void fenced_commands::acquire_token()
{
    host.key_values().read(fence_key(host.settings().instance),
                           [this](const result<stored_value>& read)
                           {
                               if (!read)
                                   return authorize_later();
                               acquire_next_token(read.value());
                           });
}

/*! @brief Acquires the next token by compare-and-swap. The stored value names
 * the owning process, so if the response is lost, the next read shows whether
 * the write succeeded. */
void fenced_commands::acquire_next_token(const stored_value& stored)
{
    const auto newest = parse_token(stored.text);
    if (newest.owner == owner_id() && newest.token >= highest_seen)
    {
        guard.token_acquired(newest.token);
        return authorize();
    }
    const fencing_token next(std::max(newest.token, highest_seen).value() + 1);
    host.key_values().compare_and_swap(
        fence_key(host.settings().instance), stored.index,
        format_token({next, owner_id()}),
        [this, next](swap_outcome swapped) { token_written(next, swapped); });
}

void fenced_commands::token_written(fencing_token next, swap_outcome swapped)
{
    if (swapped != swap_outcome::swapped)
        return authorize_later();
    guard.token_acquired(next);
    log::state("fencing_token_taken",
               {{"token", std::to_string(next.value())}});
    authorize();
}

void fenced_commands::confirm_token()
{
    host.key_values().read(
        fence_key(host.settings().instance),
        [this](const result<stored_value>& read)
        {
            if (read)
            {
                guard.newest_token_read(parse_token(read.value().text).token);
                return authorize();
            }
            guard.service_unreachable();
            return guard.state() == fence_state::held ? authorize()
                                                      : authorize_later();
        });
}

std::string fenced_commands::owner_id() const
{
    return host.settings().instance.value() + "/" + process_id;
}

} // namespace coursejunction::internal
