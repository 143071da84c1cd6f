/*! @file
 * @brief Calls to the origin of weights, or the weight store that stands in.
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

/*! @brief Asks for the manifest and the chunks of one version. A source that
 * fails makes the next call go to the other one. */
class weight_source_client
{
public:
    /*! @brief Takes the end of a call and which source it went to. */
    using done_callback = std::function<void(weight_source, http_result)>;

    weight_source_client(http_client& carrier, const node_settings& set);

    /*! @brief Begins with another version, at the origin itself. */
    void reset();

    /*! @brief Ends the calls for chunks; no callback comes any more. */
    void cancel_all();

    /*! @brief Asks for the manifest, unless a call for it is open. */
    void fetch_manifest(const digest& version, done_callback done);

    /*! @brief Asks for a chunk, in place of an open call for the same. */
    void fetch_chunk(const manifest& of, chunk_index chunk, done_callback done);

private:
    [[nodiscard]] const std::string& url_of(weight_source from) const;
    void note(weight_source from, const http_result& end);

    http_client& client;
    const node_settings& settings;
    origin_fallback sources{false};
    std::map<chunk_index, http_client::call_id> open;
    bool manifest_asked{false};
    std::uint64_t serial{0}; /*!< Of this beginning; tells late answers. */
};

/*! @brief Says why a call that is not ok gave nothing. */
[[nodiscard]] std::string fault_text(const http_result& end);

} // namespace coursejunction::internal

#endif
