#include "coursejunction/daemon/internal/response_writer.hpp"

#include <cstdint>

#include <nlohmann/json.hpp>

#include "coursejunction/daemon/node.hpp"

namespace coursejunction::internal
{

namespace
{

using nlohmann::json;

/*! @brief Events that come closer together are given to the caller at once;
 * a reader notices no such delay. */
constexpr milliseconds flush_interval{10};

/*! @brief Gives the events of a request that were held back. */
void flush_held(live_request& one)
{
    if (one.unsent_events.empty())
        return;
    one.reply->write(one.unsent_events);
    one.unsent_events.clear();
    one.last_write_at = node::now();
}

void write_outcome(live_request& one, const std::string& name)
{
    flush_held(one);
    one.reply->write("event: outcome\ndata: " + name + "\n\n");
}

void add_retry_after(header_map& headers, milliseconds wait)
{
    constexpr std::int64_t second = 1000;
    headers["Retry-After"] =
        std::to_string((wait.count() + second - 1) / second);
    headers["Retry-After-Ms"] = std::to_string(wait.count());
}

} // namespace

response_writer::response_writer(node& owner, replicated_claims& kept)
    : host(owner), notes(kept),
      flush_timer(owner.loop().every(flush_interval, [this] { flush(); }))
{
}

void response_writer::begin_stream(live_request& one)
{
    one.stream_begun = true;
    one.reply->begin(200, "text/event-stream",
                     {{"Request-Id", one.id.value()}});
    host.counters().observe("time_to_first_token_seconds",
                            to_seconds(node::now() - one.arrived_at));
}

void response_writer::write_events(const live_request_pointer& one,
                                   const std::string& events)
{
    const bool soon = node::now() - one->last_write_at < flush_interval;
    if (!soon && one->unsent_events.empty())
    {
        one->last_write_at = node::now();
        return one->reply->write(events);
    }
    if (one->unsent_events.empty())
        to_flush.push_back(one);
    one->unsent_events += events;
}

/*! @brief Gives all events that were held back. */
void response_writer::flush()
{
    for (const auto& one : to_flush)
        flush_held(*one);
    to_flush.clear();
}

void response_writer::finish_answered(live_request& one,
                                      const message::answer_end& head)
{
    host.counters().count("answers_total", 1, {{"outcome", "answered"}});
    if (one.stream_begun)
    {
        write_outcome(one, "answered");
        return one.reply->finish();
    }
    header_map headers{{"Outcome", "answered"}, {"Request-Id", one.id.value()}};
    if (!head.weights.empty())
        headers["Weights"] = head.weights;
    one.reply->send(head.status, head.content_type, headers, one.buffered_body);
}

void response_writer::finish_failed(const live_request_pointer& one,
                                    attempt_failure end)
{
    if (one->may_have_run || one->stream_begun)
        end.result = outcome::unknown;
    if (end.result != outcome::not_run || !one->not_repeatable)
        return answer(*one, end);
    host.key_values().read(
        claim_key(one->id),
        [this, one, end](const result<stored_value>& got) mutable
        {
            if (got && got.value().index == 0)
                return unclaimed(one, end);
            end.result = outcome::unknown;
            answer(*one, end);
        });
}

/*! @brief The key-value service has no claim: it may have lost one. */
void response_writer::unclaimed(const live_request_pointer& one,
                                attempt_failure end)
{
    notes.query(one->id,
                [this, one, end](claim_verdict word) mutable
                {
                    if (word != claim_verdict::free)
                        end.result = outcome::unknown;
                    answer(*one, end);
                });
}

/*! @brief Sends a final answer that is no answer of an upstream; a stream
 * that has begun is cut so that nobody takes it for whole. */
void response_writer::answer(live_request& one, const attempt_failure& end)
{
    const auto name = std::string(to_string(end.result));
    host.counters().count("answers_total", 1, {{"outcome", name}});
    if (one.stream_begun)
    {
        write_outcome(one, name);
        return one.reply->cut();
    }
    header_map headers{{"Outcome", name}, {"Request-Id", one.id.value()}};
    if (end.retry_after.count() > 0)
        add_retry_after(headers, end.retry_after);
    const json body{{"outcome", name}, {"error", end.reason}};
    one.reply->send(end.status == 0 ? 502 : end.status, "application/json",
                    headers, body.dump());
}

void response_writer::reject_input(const std::shared_ptr<http_reply>& reply,
                                   const std::string& fault)
{
    const json body{{"outcome", "not_run"}, {"error", fault}};
    reply->send(400, "application/json", {{"Outcome", "not_run"}}, body.dump());
}

} // namespace coursejunction::internal
