#include "coursejunction/daemon/internal/response_writer.hpp"

#include <cstdint>

#include <nlohmann/json.hpp>

#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

using nlohmann::json;

/*! @brief Events that arrive closer together are written to the caller in one
 * write; a reader does not notice a delay this short. */
constexpr milliseconds flush_interval{10};

/*! @brief Writes the events of a request that wait for a flush. */
void flush_events(live_request& request)
{
    if (request.unsent_events.empty())
        return;
    request.reply->write(request.unsent_events);
    request.unsent_events.clear();
    request.last_write_at = node::now();
}

void write_outcome(live_request& request, const std::string& name)
{
    flush_events(request);
    request.reply->write("event: outcome\ndata: " + name + "\n\n");
}

void add_retry_after(header_map& headers, milliseconds wait)
{
    constexpr std::int64_t ms_per_second = 1000;
    headers["Retry-After"] =
        std::to_string((wait.count() + ms_per_second - 1) / ms_per_second);
    headers["Retry-After-Ms"] = std::to_string(wait.count());
}

} // namespace

response_writer::response_writer(node& owner, replicated_claims& replicas)
    : host(owner), claims(replicas),
      flush_timer(owner.loop().every(flush_interval, [this] { flush(); }))
{
}

void response_writer::begin_stream(live_request& request)
{
    request.stream_begun = true;
    request.reply->begin(200, "text/event-stream",
                         {{"Request-Id", request.id.value()}});
    host.counters().observe("time_to_first_token_seconds",
                            to_seconds(node::now() - request.arrived_at));
}

void response_writer::write_events(const live_request_pointer& request,
                                   const std::string& events)
{
    const bool recently_written =
        node::now() - request->last_write_at < flush_interval;
    if (!recently_written && request->unsent_events.empty())
    {
        request->last_write_at = node::now();
        return request->reply->write(events);
    }
    if (request->unsent_events.empty())
        unflushed.push_back(request);
    request->unsent_events += events;
}

/*! @brief Writes all events that wait for a flush. */
void response_writer::flush()
{
    for (const auto& request : unflushed)
        flush_events(*request);
    unflushed.clear();
}

void response_writer::finish_answered(live_request& request,
                                      const message::answer_end& head)
{
    host.counters().count("answers_total", 1, {{"outcome", "answered"}});
    if (request.stream_begun)
    {
        write_outcome(request, "answered");
        return request.reply->finish();
    }
    header_map headers{{"Outcome", "answered"},
                       {"Request-Id", request.id.value()}};
    if (!head.weights.empty())
        headers["Weights"] = head.weights;
    request.reply->send(head.status, head.content_type, headers,
                        request.buffered_body);
}

void response_writer::finish_failed(const live_request_pointer& request,
                                    attempt_failure failure)
{
    if (request->may_have_run || request->stream_begun)
        failure.result = outcome::unknown;
    if (failure.result != outcome::not_run || !request->not_repeatable)
        return write_failure(*request, failure);
    ++undecided_count;
    host.key_values().read(
        claim_key(request->id),
        [this, request, failure](const result<stored_value>& claim) mutable
        {
            if (claim && claim.value().index == 0)
                return check_replicas(request, failure);
            failure.result = outcome::unknown;
            write_decided(*request, failure);
        });
}

/*! @brief Asks the voters for a claim: the key-value service has none, but may
 * have lost it. */
void response_writer::check_replicas(const live_request_pointer& request,
                                     attempt_failure failure)
{
    claims.query(request->id,
                 [this, request, failure](claim_verdict verdict) mutable
                 {
                     if (verdict != claim_verdict::free)
                         failure.result = outcome::unknown;
                     write_decided(*request, failure);
                 });
}

void response_writer::write_decided(live_request& request,
                                    const attempt_failure& failure)
{
    --undecided_count;
    write_failure(request, failure);
}

/*! @brief Writes the outcome of a request that no upstream answered. A stream
 * that has begun is aborted, so that no caller takes it for complete. */
void response_writer::write_failure(live_request& request,
                                    const attempt_failure& failure)
{
    const auto name = std::string(to_string(failure.result));
    host.counters().count("answers_total", 1, {{"outcome", name}});
    if (request.stream_begun)
    {
        write_outcome(request, name);
        return request.reply->cut();
    }
    header_map headers{{"Outcome", name}, {"Request-Id", request.id.value()}};
    if (failure.retry_after.count() > 0)
        add_retry_after(headers, failure.retry_after);
    const json body{{"outcome", name}, {"error", failure.reason}};
    request.reply->send(failure.status == 0 ? 502 : failure.status,
                        "application/json", headers, body.dump());
}

void response_writer::reject_input(const std::shared_ptr<http_reply>& reply,
                                   const std::string& error)
{
    const json body{{"outcome", "not_run"}, {"error", error}};
    reply->send(400, "application/json", {{"Outcome", "not_run"}}, body.dump());
}

} // namespace coursejunction::internal
