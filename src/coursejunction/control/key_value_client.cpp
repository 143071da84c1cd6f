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
constexpr int http_too_many_requests = 429;
constexpr int http_internal_error = 500;

/*! @brief Part of Consul's error message when the session of an acquire does
 * not exist. */
constexpr std::string_view invalid_session = "invalid session";

/*! @brief Mean pause after the first failed attempt of a write. For comparison,
 * a configuration of 1 MB, 1.33 MB in base64, takes 0.44 s over 24 Mbit/s. */
constexpr milliseconds first_write_pause{150};

/*! @brief Longest mean pause between attempts; a write has 5 s, which leaves
 * time for several attempts. */
constexpr milliseconds max_write_pause{1200};

/*! @brief Lowest transfer rate that time limits assume, in bytes a second:
 * twelve calls that share a link of 24 Mbit/s. */
constexpr std::size_t min_rate = 250'000;

/*! @brief Largest response: a configuration in base64, 4 bytes for 3. */
constexpr std::size_t max_response_bytes = configuration::max_bytes / 3 * 4;

/*! @brief Returns the transfer time at the lowest assumed rate. */
constexpr milliseconds min_rate_transfer_time(std::size_t bytes)
{
    return milliseconds(1000 * bytes / min_rate);
}

/*! @brief Sets the time limits of a read: a short limit on pauses, so that a
 * slow response that makes progress is not cancelled, and a total that leaves
 * time for the largest response.
 * @param first_byte How long the service may take to begin its response.
 * @param stall How long a response that has begun may pause. */
void set_time_limits(http_call& call, milliseconds first_byte,
                     milliseconds stall)
{
    call.answer_time = first_byte;
    call.stall_time = stall;
    call.timeout = first_byte + min_rate_transfer_time(max_response_bytes);
}

result<stored_value> parse_value(const std::string& body)
{
    const auto items = nlohmann::json::parse(body, nullptr, false);
    if (!items.is_array() || items.size() != 1 || !items[0].is_object())
        return failure(error_kind::refused,
                       "key-value service: response is not an array of one "
                       "JSON object");
    const auto& item = items[0];
    if (!item.contains("ModifyIndex") || !item["ModifyIndex"].is_number() ||
        !item.contains("Value") || !item["Value"].is_string())
        return failure(error_kind::refused,
                       "key-value service: response lacks a numeric "
                       "ModifyIndex or a Value string");
    auto text = from_base64(item["Value"].get<std::string>());
    if (!text)
        return failure(text.error().kind, text.error().message);
    const auto index = item["ModifyIndex"].get<std::uint64_t>();
    return stored_value{index, std::move(text.value()), index};
}

/*! @brief Returns the service's own index from the response headers, 0 when
 * it is missing. */
std::uint64_t service_index(const http_result& response)
{
    constexpr int decimal = 10;
    const auto found = response.headers.find("x-consul-index");
    return found == response.headers.end()
               ? 0
               : std::strtoull(found->second.c_str(), nullptr, decimal);
}

result<stored_value> read_result(const http_result& response)
{
    if (response.reach == http_reach::answered &&
        response.status == http_not_found)
        return stored_value{0, {}, service_index(response)};
    if (!response.ok())
        return failure(error_kind::unavailable,
                       "key-value service: " + response.fault);
    return parse_value(response.body);
}

swap_outcome swap_result(const http_result& response)
{
    if (response.ok() && response.body.starts_with("true"))
        return swap_outcome::swapped;
    if (response.ok() && response.body.starts_with("false"))
        return swap_outcome::lost_race;
    if (response.reach == http_reach::answered &&
        response.status == http_internal_error &&
        response.body.find(invalid_session) != std::string::npos)
        return swap_outcome::no_session;
    const bool rate_limited = response.reach == http_reach::answered &&
                              response.status == http_too_many_requests;
    if (rate_limited || response.reach == http_reach::not_sent)
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

key_value_client::key_value_client(http_client& http, std::string base_url,
                                   milliseconds max_silence)
    : client(http), url(std::move(base_url)), timeout(max_silence)
{
}

void key_value_client::read(const std::string& key, read_callback done)
{
    ++started_calls;
    http_call call;
    call.url = url + "/v1/kv/" + key;
    internal::set_time_limits(call, timeout, timeout);
    client.start(std::move(call), [done = std::move(done)](http_result response)
                 { done(internal::read_result(response)); });
}

void key_value_client::watch(const std::string& key, std::uint64_t index,
                             milliseconds wait, read_callback done)
{
    ++started_calls;
    http_call call;
    call.url = url + "/v1/kv/" + key + "?index=" + std::to_string(index) +
               "&wait=" + std::to_string(wait.count() / 1000) + "s";
    internal::set_time_limits(call, wait + timeout, timeout);
    client.start(std::move(call), [done = std::move(done)](http_result response)
                 { done(internal::read_result(response)); });
}

void key_value_client::put(const std::string& path, std::string body,
                           swap_callback done)
{
    ++started_calls;
    http_call call;
    call.method = "PUT";
    call.url = url + path;
    call.body = std::move(body);
    call.timeout = timeout + internal::min_rate_transfer_time(call.body.size());
    client.start(std::move(call), [done = std::move(done)](http_result response)
                 { done(internal::swap_result(response)); });
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
    ++started_calls;
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
        [done = std::move(done)](const http_result& response)
        {
            const auto body =
                nlohmann::json::parse(response.body, nullptr, false);
            if (!response.ok() || !body.is_object() || !body.contains("ID"))
                return done(
                    failure(error_kind::unavailable,
                            "key-value service: cannot create a session"));
            done(body["ID"].get<std::string>());
        });
}

struct configuration_store::implementation
{
    event_loop& loop;
    key_value_client& client;
    time_point deadline;
    backoff pauses;
    timer retry_timer;
};

configuration_store::configuration_store(event_loop& loop,
                                         key_value_client& service,
                                         time_point deadline)
    : self(std::make_unique<implementation>(
          implementation{loop,
                         service,
                         deadline,
                         {internal::first_write_pause,
                          internal::max_write_pause, std::random_device{}()},
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
    self->retry_timer = self->loop.after(self->pauses.next(), std::move(task));
}

bool configuration_store::deadline_passed() const
{
    return event_loop::now() >= self->deadline;
}

} // namespace coursejunction
