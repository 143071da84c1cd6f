/*! @file
 * @brief Downloads the target version of the weights.
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
#include "coursejunction/daemon/internal/engine_stager.hpp"
#include "coursejunction/daemon/internal/have_announcer.hpp"
#include "coursejunction/daemon/internal/held_versions.hpp"
#include "coursejunction/daemon/internal/paced_downlink.hpp"
#include "coursejunction/daemon/internal/weight_source_client.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/transfer_service.hpp"
#include "coursejunction/daemon/upstream_client.hpp"

namespace coursejunction::internal
{

/*! @brief State of the download of the target version. */
struct target_version
{
    digest version;
    rollout_objective objective{rollout_objective::time};
    std::shared_ptr<chunk_store>
        chunks; /*!< Null until the manifest arrives. */
    std::optional<any_planner> planner;
    unsigned manifest_attempts{0};
    time_point next_manifest_request{};
    std::string reason; /*!< Last failure; empty for none. */
    time_point started_at{};
};

/*! @brief Downloads the target version from peers and the origin, verifies each
 * chunk and stages it in the engine. */
class version_fetch
{
public:
    using staged_callback = transfer_service::staged_callback;

    /*! @param staged Called once when the engine has every chunk.
     * @param versions Stores the chunks during the download and afterwards.
     * @param sender Sends chunks to the peers that wait for them. */
    version_fetch(node& owner, upstream_client& engine, staged_callback staged,
                  held_versions& versions, chunk_uploader& sender);

    /*! @brief Sets the target version; a download of another one is stopped. */
    void set_target(const digest& version, rollout_objective objective);

    /*! @brief Stops the download; there is no target afterwards. */
    void clear_target();

    /*! @brief Drops the versions that are neither the target nor served, once
     * the target has copied the chunks that they share. Does nothing before
     * the target's manifest is known. */
    void release_unused();

    /*! @brief Stages the version again after the engine has lost it. */
    void restage();

    /*! @brief Sets the instances that take part in the transfer. */
    void set_participants(std::vector<participant> all);

    /*! @brief Requests and stages what is due; called every few milliseconds.
     */
    void tick();

    /*! @brief Handles a peer's announcement of the chunks that it holds. */
    void handle_have(const instance_id& from,
                     const result<message::have>& have);

    /*! @brief Handles a peer's reply to a chunk request. */
    void handle_chunk_reply(const instance_id& from,
                            const result<message::chunk_reply>& reply,
                            std::string bytes);

    /*! @brief Handles a peer's reply to a manifest request. */
    void handle_manifest_reply(const result<message::manifest_reply>& reply,
                               const std::string& text);

    /*! @brief Records that a peer requested a chunk of a version held here. */
    void record_chunk_request(const instance_id& from, const digest& version);

    /*! @brief Handles the loss of a peer's connection. */
    void peer_lost(const instance_id& peer);

    /*! @brief Returns whether a version is the target. */
    [[nodiscard]] bool is_target(const digest& version) const;

    /*! @brief Returns whether there is a target. */
    [[nodiscard]] bool has_target() const { return target.has_value(); }

    /*! @brief Returns whether the target's manifest is known. */
    [[nodiscard]] bool has_manifest() const { return target && target->chunks; }

    /*! @brief Returns whether every chunk of the target is held. */
    [[nodiscard]] bool complete() const
    {
        return has_manifest() && target->chunks->complete();
    }

    /*! @brief Returns how much of the target is held and the last failure. */
    [[nodiscard]] transfer_progress progress() const;
    [[nodiscard]] const transfer_counters& counters() const { return counts; }
    /*! @brief Returns the announcer, for the numbers of its peers. */
    [[nodiscard]] const have_announcer& announcements() const
    {
        return announcer;
    }

    /*! @brief Returns the state of the target version as JSON. */
    [[nodiscard]] nlohmann::json dump() const;

private:
    [[nodiscard]] static time_point now() { return event_loop::now(); }
    [[nodiscard]] const node_settings& settings() const;

    template <typename Call>
    void with_planner(Call call)
    {
        if (target && target->planner)
            std::visit(call, *target->planner);
    }

    void start_transfer(std::shared_ptr<chunk_store> chunks);
    void assign_participants();
    void choose_neighbours();
    void send_have(const instance_id& to, std::vector<chunk_index> chunks);
    void request_manifest();
    void request_origin_manifest();
    void accept_manifest(const std::string& text);
    void request_chunks();
    void request_from_peer(const transfer_request& wanted);
    void request_from_origin(chunk_index chunk);
    void origin_failed(chunk_index chunk, const http_result& response);
    void add_listener(const instance_id& peer);
    void count_peer_bytes(const instance_id& from, std::size_t bytes);
    void accept_chunk(chunk_index chunk, std::string bytes,
                      const instance_id& from);
    void transfer_finished();

    node& host;
    held_versions& held;
    chunk_uploader& uploads;
    transfer_counters counts;
    paced_downlink downlink;
    weight_source_client origin;
    engine_stager<upstream_client> stager;
    have_announcer announcer;
    std::optional<target_version> target;
    std::vector<participant> participants;
};

} // namespace coursejunction::internal

#endif
