#include "coursejunction/daemon/internal/live_request.hpp"

#include <algorithm>

#include "coursejunction/core/digest.hpp"

namespace coursejunction::internal
{

message::dispatch make_dispatch(const live_request& one, milliseconds left)
{
    message::dispatch ask;
    ask.stream = one.stream;
    ask.attempt = one.attempt;
    ask.request = one.id.value();
    ask.organisation = one.organisation.value();
    ask.model = one.route.model;
    ask.path = one.path;
    ask.priority = one.priority;
    ask.deadline_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
    ask.not_repeatable = one.not_repeatable;
    ask.seed = stable_hash(one.id.value());
    ask.resume_from = one.events.data_events();
    ask.weights = one.route.weights;
    return ask;
}

} // namespace coursejunction::internal
