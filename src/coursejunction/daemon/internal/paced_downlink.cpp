#include "coursejunction/daemon/internal/paced_downlink.hpp"

#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief What is due this soon arrives now: a timer is no finer. */
constexpr std::chrono::microseconds take_ahead{2000};

} // namespace

paced_downlink::paced_downlink(event_loop& owner, double rate,
                               arrived_callback call)
    : loop(owner), link(rate), arrived(std::move(call))
{
}

void paced_downlink::enqueue(chunk_index chunk, std::string bytes,
                             const instance_id& from)
{
    const auto at =
        link.reserve(static_cast<double>(bytes.size()), event_loop::now());
    coming.push_back({at, chunk, std::move(bytes), from});
    take_due();
}

void paced_downlink::take_due()
{
    while (!coming.empty() &&
           coming.front().at <= event_loop::now() + take_ahead)
    {
        auto one = std::move(coming.front());
        coming.pop_front();
        arrived(one.chunk, std::move(one.bytes), one.from);
    }
    if (coming.empty())
        return;
    due = loop.after(coming.front().at - event_loop::now(),
                     [this] { take_due(); });
}

} // namespace coursejunction::internal
