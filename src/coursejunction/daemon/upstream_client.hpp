/*! @file
 * @brief HTTP to the upstream on the side's own instance.
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

/*! @brief What an engine says of itself. */
struct engine_state
{
    digest serving;       /*!< Empty when nothing whole is served. */
    fencing_token newest; /*!< Highest of all orders; empty when not told. */
    bool loading{false};
    std::size_t running{0};
    std::size_t slots{0};
    std::vector<std::uint64_t> cached;
};

/*! @brief An order to load. */
struct load_order
{
    digest version;
    std::string model;
    std::string adapter;
    std::string engine_role;
    fencing_token token;
};

/*! @brief What an engine answered to an order. */
struct load_answer
{
    enum class kind : std::uint8_t
    {
        loaded,
        stale,      /*!< The token is old: another side is in charge. */
        incomplete, /*!< Staged chunks are missing at the engine. */
        failed,
        unknown /*!< The order may have been carried out. */
    };

    kind end{kind::unknown};
    std::string reason;
};

/*! @brief Speaks to one model engine. */
class upstream_client
{
public:
    upstream_client(http_client& carrier, std::string base);

    /*! @brief Asks what the engine serves and how busy it is. */
    void read_state(std::function<void(result<engine_state>)> done);

    /*! @brief Hands over a manifest. */
    void stage_manifest(const digest& version, std::string text,
                        std::function<void(bool)> done);

    /*! @brief Hands over a verified chunk. */
    void stage_chunk(const digest& version, std::uint32_t chunk,
                     std::string bytes, std::function<void(bool)> done);

    /*! @brief Orders a load. */
    void load(const load_order& order, std::function<void(load_answer)> done);

    /*! @brief Returns the base address. */
    [[nodiscard]] const std::string& url() const noexcept { return base_url; }

private:
    void put(const std::string& path, std::string body,
             std::function<void(bool)> done);

    http_client& client;
    std::string base_url;
};

} // namespace coursejunction

#endif
