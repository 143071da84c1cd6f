/*! @file
 * @brief HTTP client for the engine on the sidecar's own instance.
 */
#ifndef COURSEJUNCTION_DAEMON_UPSTREAM_CLIENT_HPP
#define COURSEJUNCTION_DAEMON_UPSTREAM_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/net/http_client.hpp"

namespace coursejunction
{

/*! @brief State that an engine reports of itself. */
struct engine_state
{
    digest serving; /*!< Empty when no whole version is served. */
    /*! @brief Highest token of all load commands; empty when not reported. */
    fencing_token newest_token;
    bool loading{false};
    std::size_t running{0};
    std::size_t slots{0};
    std::vector<std::uint64_t> cached_prefixes; /*!< Hashes. */
};

/*! @brief A command to load a staged version. */
struct load_command
{
    digest version;
    std::string model;
    std::string adapter;
    std::string engine_role;
    fencing_token token;
};

/*! @brief An engine's response to a load command. */
struct load_response
{
    enum class kind : std::uint8_t
    {
        loaded,
        stale_token,    /*!< Another sidecar has a newer token. */
        chunks_missing, /*!< The engine lacks some of the staged chunks. */
        failed,
        unknown /*!< No response: the command may have been executed. */
    };

    kind outcome{kind::unknown};
    std::string reason;
};

/*! @brief Client of one model engine. Each call ends by invoking `done`, also
 * on failure and timeout. */
class upstream_client
{
public:
    upstream_client(http_client& carrier, std::string base);

    /*! @brief Reads what the engine serves and how busy it is. */
    void read_state(std::function<void(result<engine_state>)> done);

    /*! @brief Stages a manifest; `done` receives whether it was accepted. */
    void stage_manifest(const digest& version, std::string text,
                        std::function<void(bool)> done);

    /*! @brief Stages a verified chunk; `done` receives whether it was accepted.
     */
    void stage_chunk(const digest& version, std::uint32_t chunk,
                     std::string bytes, std::function<void(bool)> done);

    /*! @brief Sends a load command; a load may take minutes. */
    void load(const load_command& command,
              std::function<void(load_response)> done);

    /*! @brief Returns the base URL. */
    [[nodiscard]] const std::string& url() const noexcept { return base_url; }

private:
    void put(const std::string& path, std::string body,
             std::function<void(bool)> done);

    http_client& client;
    std::string base_url;
};

} // namespace coursejunction

#endif
