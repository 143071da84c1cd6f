#include "coursejunction/daemon/internal/fenced_orders.hpp"

#include <utility>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/internal/token_record.hpp"
#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Time to the next try when the service gave no token. */
constexpr milliseconds token_retry{300};

} // namespace

fenced_orders::fenced_orders(node& owner, order_callback allowed,
                             order_callback refused)
    : host(owner), allow(std::move(allowed)), refuse(std::move(refused)),
      guard(owner.settings().upstream_checks_fencing), process_id(random_id())
{
}

void fenced_orders::request()
{
    switch (guard.state())
    {
    case fence_state::held:
        return allow();
    case fence_state::none:
        return take_token();
    case fence_state::unconfirmed:
        return confirm_token();
    case fence_state::lost:
        return refuse();
    }
}

void fenced_orders::request_later()
{
    again = host.loop().after(token_retry, [this] { request(); });
}

void fenced_orders::take_token()
{
    host.key_values().read(fence_key(host.settings().instance),
                           [this](const result<stored_value>& got)
                           {
                               if (!got)
                                   return request_later();
                               take_after(got.value());
                           });
}

/*! @brief Takes the next token by compare-and-swap. The value names the
 * process, so a lost answer is settled by reading again. */
void fenced_orders::take_after(const stored_value& stored)
{
    const auto newest = parse_token(stored.text);
    if (newest.owner == owner_text() && newest.token >= highest)
    {
        guard.token_acquired(newest.token);
        return request();
    }
    const fencing_token next(std::max(newest.token, highest).value() + 1);
    host.key_values().compare_and_swap(
        fence_key(host.settings().instance), stored.index,
        to_text({next, owner_text()}),
        [this, next](swap_outcome done) { taken(next, done); });
}

void fenced_orders::taken(fencing_token next, swap_outcome done)
{
    if (done != swap_outcome::swapped)
        return request_later();
    guard.token_acquired(next);
    log::state("fencing_token_taken",
               {{"token", std::to_string(next.value())}});
    request();
}

void fenced_orders::confirm_token()
{
    host.key_values().read(
        fence_key(host.settings().instance),
        [this](const result<stored_value>& got)
        {
            if (got)
            {
                guard.newest_token_read(parse_token(got.value().text).token);
                return request();
            }
            guard.service_unreachable();
            return guard.state() == fence_state::held ? request()
                                                      : request_later();
        });
}

std::string fenced_orders::owner_text() const
{
    return host.settings().instance.value() + "/" + process_id;
}

} // namespace coursejunction::internal
