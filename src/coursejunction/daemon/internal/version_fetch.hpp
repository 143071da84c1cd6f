/*! @file
 * @brief Fetches the wanted version.
 */
#ifndef COURSEJUNCTION_DAEMON_INTERNAL_VERSION_FETCH_HPP
#define COURSEJUNCTION_DAEMON_INTERNAL_VERSION_FETCH_HPP

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/types.hpp"
#include "coursejunction/daemon/chunk_uploader.hpp"
#include "coursejunction/daemon/internal/any_planner.hpp"
#include "coursejunction/daemon/internal/engine_hand_over.hpp"
#include "coursejunction/daemon/internal/have_announcer.hpp"
#include "coursejunction/daemon/internal/held_versions.hpp"
#include "coursejunction/daemon/internal/origin_calls.hpp"
#include "coursejunction/daemon/internal/paced_downlink.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/transfer_service.hpp"
#include "coursejunction/daemon/upstream_client.hpp"

namespace coursejunction::internal
{

/*! @brief How far the wanted version is. */
struct wanted_version
{
    digest version;
    rollout_objective weigh{rollout_objective::time};
    std::shared_ptr<staging> chunks;
    std::optional<any_planner> planner;
    unsigned manifest_attempts{0};
    time_point manifest_after{};
    std::string reason;
    time_point began{};
};

/*! @brief Gets the wanted version from peers and the origin, verifies it and
 * hands it over to the engine. */
class version_fetch
{
public:
    using staged_callback = transfer_service::staged_callback;

    /*! @param versions Where the version is held while it comes and after.
     * @param sender Sends chunks to the peers that wait for them. */
    version_fetch(node& owner, upstream_client& engine, staged_callback staged,
                  held_versions& versions, chunk_uploader& sender);

    /*! @brief Sets the wanted version; another one under way is stopped. */
    void want(const digest& version, rollout_objective weigh);

    /*! @brief Stops wanting anything. */
    void stop();

    /*! @brief Drops versions that are neither wanted nor served, once the
     * wanted one has taken over what they have in common. */
    void release();

    /*! @brief Hands the version over again, after the engine lost it. */
    void hand_over_again();

    /*! @brief Sets who takes part. */
    void participants(std::vector<participant> all);

    /*! @brief Moves on, when something is wanted. */
    void tick();

    /*! @brief Takes what a peer says that it holds. */
    void heard_have(const instance_id& from, const result<message::have>& have);

    /*! @brief Takes a peer's answer to a request for a chunk. */
    void replied(const instance_id& from,
                 const result<message::chunk_reply>& reply, std::string bytes);

    /*! @brief Takes a peer's answer to a request for the manifest. */
    void replied_manifest(const result<message::manifest_reply>& reply,
                          const std::string& text);

    /*! @brief Notes that a peer asked for a chunk of a version held here. */
    void asked(const instance_id& from, const digest& version);

    /*! @brief Notes that a peer's connection is gone. */
    void peer_lost(const instance_id& peer);

    /*! @brief Tells whether a version is the wanted one. */
    [[nodiscard]] bool wants(const digest& version) const;

    /*! @brief Tells whether any version is wanted. */
    [[nodiscard]] bool active() const { return wanted.has_value(); }

    /*! @brief Tells whether the manifest of the wanted version is here. */
    [[nodiscard]] bool begun() const { return wanted && wanted->chunks; }

    /*! @brief Tells whether all of the wanted version is here. */
    [[nodiscard]] bool complete() const
    {
        return begun() && wanted->chunks->complete();
    }

    [[nodiscard]] transfer_progress progress() const;
    [[nodiscard]] const transfer_counters& counters() const { return counts; }
    [[nodiscard]] const have_announcer& announced() const { return announcer; }

    /*! @brief Returns the state of the wanted version as JSON. */
    [[nodiscard]] nlohmann::json dump() const;

private:
    [[nodiscard]] static time_point now() { return event_loop::now(); }
    [[nodiscard]] const node_settings& settings() const;

    template <typename Call>
    void with_planner(Call call)
    {
        if (wanted && wanted->planner)
            std::visit(call, *wanted->planner);
    }

    void begin(std::shared_ptr<staging> chunks);
    void assign();
    void choose_neighbours();
    void send_have(const instance_id& to, std::vector<chunk_index> chunks);
    void ask_manifest();
    void ask_origin_manifest();
    void take_manifest(const std::string& text);
    void ask_chunks();
    void ask_peer(const transfer_request& one);
    void ask_origin(chunk_index chunk);
    void origin_failed(chunk_index chunk, const http_result& end);
    void listen(const instance_id& peer);
    void count_peer_bytes(const instance_id& from, std::size_t bytes);
    void arrive(chunk_index chunk, std::string bytes, const instance_id& from);
    void finished();

    node& host;
    held_versions& held;
    chunk_uploader& uploads;
    transfer_counters counts;
    paced_downlink downlink;
    origin_calls origin;
    engine_hand_over<upstream_client> hand_over;
    have_announcer announcer;
    std::optional<wanted_version> wanted;
    std::vector<participant> everybody;
};

} // namespace coursejunction::internal

#endif
