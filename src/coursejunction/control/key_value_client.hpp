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

/*! @brief Key of the newest fencing token of an upstream. */
[[nodiscard]] std::string fence_key(const instance_id& upstream);

/*! @brief Key of the claim of a request that may run once. */
[[nodiscard]] std::string claim_key(const request_id& request);

/*! @brief Calls the service; every callback is on the loop's thread. */
class key_value_client
{
public:
    using read_callback = std::function<void(result<stored_value>)>;
    using swap_callback = std::function<void(swap_outcome)>;
    using session_callback = std::function<void(result<std::string>)>;

    /*! @param limit How long the service may be silent; a large value may take
     * longer as long as it keeps coming. */
    key_value_client(http_client& carrier, std::string base,
                     milliseconds limit);

    /*! @brief Reads a key; an absent one has index 0. */
    void read(const std::string& key, read_callback done);

    /*! @brief Waits until a key has an index above the given one, or until
     * the wait is over. The service counts it as one call. */
    void watch(const std::string& key, std::uint64_t index, milliseconds wait,
               read_callback done);

    /*! @brief Writes a key if its index is still the given one; 0 means that
     * it must be absent. */
    void compare_and_swap(const std::string& key, std::uint64_t index,
                          std::string text, swap_callback done);

    /*! @brief Opens a session; what it holds is deleted when it ends. */
    void open_session(std::chrono::seconds ttl, session_callback done);

    /*! @brief Writes a key if nobody else holds it. */
    void acquire(const std::string& key, const std::string& session,
                 std::string text, swap_callback done);

    /*! @brief Returns how many calls were made. */
    [[nodiscard]] std::uint64_t call_count() const noexcept { return made; }

private:
    void put(const std::string& path, std::string body, swap_callback done);

    http_client& client;
    std::string url;
    milliseconds timeout;
    std::uint64_t made{0};
};

/*! @brief Access of one configuration write to the service, with a deadline:
 * a `Configuration_store`. */
class configuration_store
{
public:
    configuration_store(event_loop& owner, key_value_client& service,
                        time_point deadline);
    ~configuration_store();

    void read(key_value_client::read_callback done);
    void compare_and_swap(std::uint64_t index, std::string text,
                          key_value_client::swap_callback done);
    /*! @brief Runs work after a pause that grows and is drawn: operators whose
     * tries failed together do not come back together. */
    void retry_later(std::function<void()> task);
    [[nodiscard]] bool deadline_passed() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace coursejunction

#endif
