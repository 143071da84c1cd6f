#include "coursejunction/daemon/internal/live_request.hpp"

#include <algorithm>

#include "coursejunction/core/digest.hpp"

namespace coursejunction::internal
{

message::dispatch make_dispatch(const live_request& request, milliseconds left)
{
    message::dispatch command;
    command.stream = request.stream;
    command.attempt = request.attempt;
    command.request = request.id.value();
    command.organisation = request.organisation.value();
    command.model = request.route.model;
    command.path = request.path;
    command.priority = request.priority;
    command.deadline_ms =
        static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
    command.not_repeatable = request.not_repeatable;
    command.seed = stable_hash(request.id.value());
    command.resume_from = request.events.data_events();
    command.weights = request.route.weights;
    return command;
}

} // namespace coursejunction::internal
