#include "coursejunction/daemon/internal/paced_downlink.hpp"

#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief Chunks due within this time are delivered now, since timers are no
 * finer. */
constexpr std::chrono::microseconds timer_resolution{2000};

} // namespace

paced_downlink::paced_downlink(event_loop& owner, double rate,
                               deliver_callback call)
    : loop(owner), link(rate), deliver(std::move(call))
{
}

void paced_downlink::enqueue(chunk_index chunk, std::string bytes,
                             const instance_id& from)
{
    const auto due_at =
        link.reserve(static_cast<double>(bytes.size()), event_loop::now());
    queued.push_back({due_at, chunk, std::move(bytes), from});
    deliver_due();
}

void paced_downlink::deliver_due()
{
    while (!queued.empty() &&
           queued.front().due_at <= event_loop::now() + timer_resolution)
    {
        auto next = std::move(queued.front());
        queued.pop_front();
        deliver(next.chunk, std::move(next.bytes), next.from);
    }
    if (queued.empty())
        return;
    due_timer = loop.after(queued.front().due_at - event_loop::now(),
                           [this] { deliver_due(); });
}

} // namespace coursejunction::internal
