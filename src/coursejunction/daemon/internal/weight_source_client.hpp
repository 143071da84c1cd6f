/*! @file
 * @brief Downloads from the origin of weights or, if that fails, the weight
 * store.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_WEIGHT_SOURCE_CLIENT_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_WEIGHT_SOURCE_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/net/http_client.hpp"
#include "coursejunction/settings/node_settings.hpp"
#include "coursejunction/transfer/manifest.hpp"
#include "coursejunction/transfer/origin_fallback.hpp"

namespace coursejunction::internal
{

/*! @brief Downloads the manifest and the chunks of one version. After a failed
 * call the next one goes to the other source. */
class weight_source_client
{
public:
    /*! @brief Called with the source of a call and its result. */
    using done_callback = std::function<void(weight_source, http_result)>;

    weight_source_client(http_client& http, const node_settings& set);

    /*! @brief Starts with another version; its first call goes to the origin.
     */
    void reset();

    /*! @brief Cancels the chunk calls; no callback of an earlier call runs any
     * more. */
    void cancel_all();

    /*! @brief Downloads the manifest, unless a call for it is in progress. */
    void fetch_manifest(const digest& version, done_callback done);

    /*! @brief Downloads a chunk; replaces a call for the same chunk that is in
     * progress. */
    void fetch_chunk(const manifest& of, chunk_index chunk, done_callback done);

private:
    [[nodiscard]] const std::string& url_of(weight_source from) const;
    void record_result(weight_source from, const http_result& response);

    http_client& client;
    const node_settings& settings;
    origin_fallback sources{false};
    std::map<chunk_index, http_client::call_id> chunk_calls;
    bool manifest_in_progress{false};
    /*! @brief Incremented by `cancel_all`, to recognise late results. */
    std::uint64_t generation{0};
};

/*! @brief Describes why a call failed. */
[[nodiscard]] std::string failure_text(const http_result& response);

} // namespace coursejunction::internal

#endif
