#include "coursejunction/control/key_value_client.hpp"

#include <cstdlib>
#include <random>

#include <nlohmann/json.hpp>

#include "coursejunction/core/backoff.hpp"
#include "coursejunction/core/base64.hpp"
#include "coursejunction/core/digest.hpp"
#include "coursejunction/net/event_loop.hpp"

namespace coursejunction
{

namespace internal
{

constexpr int http_not_found = 404;
constexpr int http_too_many = 429;
constexpr int http_internal_error = 500;

/*! @brief What Consul answers to an acquire by a session that it lacks. */
constexpr std::string_view invalid_session = "invalid session";

/*! @brief Mean pause after a first failed try of a write; a read of a megabyte
 * takes 0.44 s over 24 Mbit/s. */
constexpr milliseconds first_write_pause{150};

/*! @brief Longest mean pause: a write has 5 s, which leaves several tries. */
constexpr milliseconds longest_write_pause{1200};

/*! @brief Bytes a second that a call may count on: twelve that share a link of
 * 24 Mbit/s. */
constexpr std::size_t least_rate = 250'000;

/*! @brief Largest answer: a configuration, of which 3 bytes become 4. */
constexpr std::size_t largest_answer = configuration::max_bytes / 3 * 4;

constexpr milliseconds time_of(std::size_t bytes)
{
    return milliseconds(1000 * bytes / least_rate);
}

/*! @brief Limits a call by its silence, so that what keeps coming is not given
 * up, and in all by the time that the largest answer takes.
 * @param first How long the service may take to begin its answer. */
void set_limits(http_call& call, milliseconds first, milliseconds silence)
{
    call.answer_time = first;
    call.stall_time = silence;
    call.timeout = first + time_of(largest_answer);
}

result<stored_value> parse_value(const std::string& body)
{
    const auto list = nlohmann::json::parse(body, nullptr, false);
    if (!list.is_array() || list.size() != 1 || !list[0].is_object())
        return failure(error_kind::refused, "not a stored value");
    const auto& one = list[0];
    if (!one.contains("ModifyIndex") || !one["ModifyIndex"].is_number() ||
        !one.contains("Value") || !one["Value"].is_string())
        return failure(error_kind::refused, "not a stored value");
    auto text = from_base64(one["Value"].get<std::string>());
    if (!text)
        return failure(text.error().kind, text.error().message);
    const auto index = one["ModifyIndex"].get<std::uint64_t>();
    return stored_value{index, std::move(text.value()), index};
}

/*! @brief Returns the index of the service, 0 when it told none. */
std::uint64_t service_index(const http_result& end)
{
    constexpr int decimal = 10;
    const auto found = end.headers.find("x-consul-index");
    return found == end.headers.end()
               ? 0
               : std::strtoull(found->second.c_str(), nullptr, decimal);
}

result<stored_value> read_result(const http_result& end)
{
    if (end.reach == http_reach::answered && end.status == http_not_found)
        return stored_value{0, {}, service_index(end)};
    if (!end.ok())
        return failure(error_kind::unavailable,
                       "key-value service: " + end.fault);
    return parse_value(end.body);
}

swap_outcome swap_result(const http_result& end)
{
    if (end.ok())
        return end.body.rfind("true", 0) == 0 ? swap_outcome::swapped
                                              : swap_outcome::lost_race;
    if (end.reach == http_reach::answered &&
        end.status == http_internal_error &&
        end.body.find(invalid_session) != std::string::npos)
        return swap_outcome::no_session;
    const bool refused =
        end.reach == http_reach::answered && end.status == http_too_many;
    if (refused || end.reach == http_reach::not_sent)
        return swap_outcome::not_sent;
    return swap_outcome::unknown;
}

} // namespace internal

std::string fence_key(const instance_id& upstream)
{
    return "coursejunction/fence/" + to_hex(upstream.value());
}

std::string claim_key(const request_id& request)
{
    return "coursejunction/claims/" + digest::of(request.value()).hex();
}

key_value_client::key_value_client(http_client& carrier, std::string base,
                                   milliseconds limit)
    : client(carrier), url(std::move(base)), timeout(limit)
{
}

void key_value_client::read(const std::string& key, read_callback done)
{
    ++made;
    http_call call;
    call.url = url + "/v1/kv/" + key;
    internal::set_limits(call, timeout, timeout);
    client.start(std::move(call), [done = std::move(done)](http_result end)
                 { done(internal::read_result(end)); });
}

void key_value_client::watch(const std::string& key, std::uint64_t index,
                             milliseconds wait, read_callback done)
{
    ++made;
    http_call call;
    call.url = url + "/v1/kv/" + key + "?index=" + std::to_string(index) +
               "&wait=" + std::to_string(wait.count() / 1000) + "s";
    internal::set_limits(call, wait + timeout, timeout);
    client.start(std::move(call), [done = std::move(done)](http_result end)
                 { done(internal::read_result(end)); });
}

void key_value_client::put(const std::string& path, std::string body,
                           swap_callback done)
{
    ++made;
    http_call call;
    call.method = "PUT";
    call.url = url + path;
    call.body = std::move(body);
    call.timeout = timeout + internal::time_of(call.body.size());
    client.start(std::move(call), [done = std::move(done)](http_result end)
                 { done(internal::swap_result(end)); });
}

void key_value_client::compare_and_swap(const std::string& key,
                                        std::uint64_t index, std::string text,
                                        swap_callback done)
{
    put("/v1/kv/" + key + "?cas=" + std::to_string(index), std::move(text),
        std::move(done));
}

void key_value_client::acquire(const std::string& key,
                               const std::string& session, std::string text,
                               swap_callback done)
{
    put("/v1/kv/" + key + "?acquire=" + session, std::move(text),
        std::move(done));
}

void key_value_client::open_session(std::chrono::seconds ttl,
                                    session_callback done)
{
    ++made;
    http_call call;
    call.method = "PUT";
    call.url = url + "/v1/session/create";
    call.body = nlohmann::json{
        {"TTL", std::to_string(ttl.count()) + "s"},
        {"Behavior",
         "delete"}}.dump();
    call.timeout = timeout;
    client.start(
        std::move(call),
        [done = std::move(done)](const http_result& end)
        {
            const auto body = nlohmann::json::parse(end.body, nullptr, false);
            if (!end.ok() || !body.is_object() || !body.contains("ID"))
                return done(failure(error_kind::unavailable, "no session"));
            done(body["ID"].get<std::string>());
        });
}

struct configuration_store::implementation
{
    event_loop& loop;
    key_value_client& client;
    time_point deadline;
    backoff pauses;
    timer pause;
};

configuration_store::configuration_store(event_loop& owner,
                                         key_value_client& service,
                                         time_point deadline)
    : self(std::make_unique<implementation>(implementation{
          owner,
          service,
          deadline,
          {internal::first_write_pause, internal::longest_write_pause,
           std::random_device{}()},
          {}}))
{
}

configuration_store::~configuration_store() = default;

void configuration_store::read(key_value_client::read_callback done)
{
    self->client.read(configuration_key, std::move(done));
}

void configuration_store::compare_and_swap(std::uint64_t index,
                                           std::string text,
                                           key_value_client::swap_callback done)
{
    self->client.compare_and_swap(configuration_key, index, std::move(text),
                                  std::move(done));
}

void configuration_store::retry_later(std::function<void()> task)
{
    self->pause = self->loop.after(self->pauses.next(), std::move(task));
}

bool configuration_store::deadline_passed() const
{
    return event_loop::now() >= self->deadline;
}

} // namespace coursejunction
