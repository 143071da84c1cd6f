/*! @file
 * @brief Client of the platform's key-value service (the part of Consul's
 * HTTP interface that the system needs).
 */
#ifndef COURSEJUNCTION_CONTROL_KEY_VALUE_CLIENT_HPP
#define COURSEJUNCTION_CONTROL_KEY_VALUE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <string>

#include "coursejunction/control/configuration_writer.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/http_client.hpp"

namespace coursejunction
{

/*! @brief Key of the configuration. */
inline constexpr const char* configuration_key = "coursejunction/configuration";

/*! @brief Returns the key of an upstream's newest fencing token. */
[[nodiscard]] std::string fence_key(const instance_id& upstream);

/*! @brief Returns the key of the claim of an at-most-once request. */
[[nodiscard]] std::string claim_key(const request_id& request);

/*! @brief Calls the service. Callbacks run on the thread of the HTTP client's
 * event loop. */
class key_value_client
{
public:
    using read_callback = std::function<void(result<stored_value>)>;
    using swap_callback = std::function<void(swap_outcome)>;
    using session_callback = std::function<void(result<std::string>)>;

    /*! @param base_url URL without the path, as `http://host:port`.
     * @param max_silence How long the service may send nothing before a call
     * fails; a large value may take longer in all. */
    key_value_client(http_client& http, std::string base_url,
                     milliseconds max_silence);

    /*! @brief Reads a key; an absent key gives index 0 and no error. */
    void read(const std::string& key, read_callback done);

    /*! @brief Reads a key once its index is above the given one, or after
     * `wait` in any case (a blocking query). It counts as one call towards the
     * service's rate limit. */
    void watch(const std::string& key, std::uint64_t index, milliseconds wait,
               read_callback done);

    /*! @brief Writes a key if its index is still the given one; index 0 means
     * that the key must be absent. */
    void compare_and_swap(const std::string& key, std::uint64_t index,
                          std::string text, swap_callback done);

    /*! @brief Creates a session and passes its id to `done`. It is not renewed:
     * once `ttl` has passed, the service ends it and deletes the keys that it
     * acquired. */
    void open_session(std::chrono::seconds ttl, session_callback done);

    /*! @brief Writes a key and locks it for a session, unless another session
     * holds it (`lost_race`). */
    void acquire(const std::string& key, const std::string& session,
                 std::string text, swap_callback done);

    /*! @brief Returns how many calls were started. */
    [[nodiscard]] std::uint64_t call_count() const noexcept
    {
        return started_calls;
    }

private:
    void put(const std::string& path, std::string body, swap_callback done);

    http_client& client;
    std::string url;
    milliseconds timeout;
    std::uint64_t started_calls{0};
};

/*! @brief The `Configuration_store` of one configuration write: the key of the
 * configuration, a deadline, and pauses between attempts. */
class configuration_store
{
public:
    configuration_store(event_loop& loop, key_value_client& service,
                        time_point deadline);
    ~configuration_store();

    void read(key_value_client::read_callback done);
    void compare_and_swap(std::uint64_t index, std::string text,
                          key_value_client::swap_callback done);
    /*! @brief Runs a task after a randomised exponential backoff, so that
     * writers whose attempts failed together do not retry together. */
    void retry_later(std::function<void()> task);
    [[nodiscard]] bool deadline_passed() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
