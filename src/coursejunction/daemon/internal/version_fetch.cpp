#include "coursejunction/daemon/internal/version_fetch.hpp"

#include <set>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/internal/transfer_peers.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Interval between two requests for a manifest. */
constexpr milliseconds manifest_interval{100};

/*! @brief Manifest requests sent to the peer of one rank before the request
 * goes to the peer of the next rank. */
constexpr unsigned manifest_attempts_per_rank = 5;

} // namespace

version_fetch::version_fetch(node& owner, upstream_client& engine,
                             staged_callback staged, held_versions& versions,
                             chunk_uploader& sender)
    : host(owner), held(versions), uploads(sender),
      downlink(
          owner.loop(), owner.settings().download_rate,
          [this](chunk_index chunk, std::string bytes, const instance_id& from)
          { accept_chunk(chunk, std::move(bytes), from); }),
      origin(owner.http(), owner.settings()), stager(engine, std::move(staged)),
      announcer([this](const instance_id& to, std::vector<chunk_index> chunks)
                { send_have(to, std::move(chunks)); })
{
}

const node_settings& version_fetch::settings() const
{
    return host.settings();
}

void version_fetch::set_target(const digest& version,
                               rollout_objective objective)
{
    if (target && target->version == version)
    {
        target->objective = objective;
        return;
    }
    clear_target();
    origin.reset();
    target.emplace();
    target->version = version;
    target->objective = objective;
    target->started_at = now();
    if (auto chunks = held.find(version))
        start_transfer(std::move(chunks));
}

void version_fetch::clear_target()
{
    if (!target)
        return;
    origin.cancel_all();
    uploads.drop_waiters(target->version);
    target.reset();
    downlink.clear();
    stager.stop();
    announcer.stop();
}

void version_fetch::release_unused()
{
    if (target && target->chunks)
        held.release_unused(target->version);
}

void version_fetch::restage()
{
    if (!target || !target->chunks)
        return;
    origin.cancel_all();
    downlink.clear();
    stager.restart();
}

void version_fetch::set_participants(std::vector<participant> all)
{
    if (all == participants)
        return;
    participants = std::move(all);
    assign_participants();
}

void version_fetch::start_transfer(std::shared_ptr<chunk_store> chunks)
{
    auto& current = *target;
    current.chunks = std::move(chunks);
    current.planner.emplace(make_planner(current.chunks->get_manifest(),
                                         settings(), current.objective, now()));
    held.add(current.version, current.chunks);
    release_unused();
    assign_participants();
    for (const auto chunk : current.chunks->held_chunks())
        with_planner([&](auto& planner) { planner.add_chunk(chunk, now()); });
    stager.start(current.version, current.chunks);
    announcer.send_all_held(*current.chunks);
    log::state(
        "transfer_started",
        {{"version", current.version.hex()},
         {"chunks", std::to_string(current.chunks->get_manifest().size())},
         {"held", std::to_string(current.chunks->size())}});
}

void version_fetch::assign_participants()
{
    with_planner([&](auto& planner)
                 { planner.set_participants(participants, now()); });
    if (!target || !target->planner)
        return;
    choose_neighbours();
}

void version_fetch::choose_neighbours()
{
    const auto chosen =
        chosen_neighbours(target->version, participants, settings().instance,
                          settings().hall, settings().transfer_neighbours);
    std::set<instance_id> neighbours(chosen.begin(), chosen.end());
    with_planner(
        [&](auto& planner)
        {
            for (const auto& id : planner.watched())
                neighbours.insert(id);
        });
    announcer.set_neighbours(std::move(neighbours));
}

void version_fetch::send_have(const instance_id& to,
                              std::vector<chunk_index> chunks)
{
    message::have have;
    have.manifest = target->version;
    have.chunks = std::move(chunks);
    have.queue = static_cast<std::uint32_t>(uploads.size());
    host.send(to, have);
}

void version_fetch::request_manifest()
{
    auto& current = *target;
    if (now() < current.next_manifest_request || participants.empty())
        return;
    current.next_manifest_request = now() + manifest_interval;
    const auto source = manifest_source(
        current.version, participants, settings().instance, settings().hall,
        current.manifest_attempts / manifest_attempts_per_rank);
    ++current.manifest_attempts;
    if (!source)
        return request_origin_manifest();
    message::manifest_request request;
    request.manifest = current.version;
    host.send(*source, request);
}

void version_fetch::request_origin_manifest()
{
    origin.fetch_manifest(target->version,
                          [this](weight_source, const http_result& response)
                          {
                              counts.origin_bytes += response.body.size();
                              if (response.ok())
                                  return accept_manifest(response.body);
                              target->reason =
                                  "the origin did not return the manifest: " +
                                  failure_text(response);
                          });
}

void version_fetch::accept_manifest(const std::string& text)
{
    if (!target || target->chunks)
        return;
    auto parsed = manifest::parse(text, target->version);
    if (!parsed)
    {
        ++counts.corrupt_chunks;
        target->reason = parsed.error().message;
        return;
    }
    const auto total_bytes = parsed.value().total_bytes();
    if (static_cast<double>(total_bytes) > settings().max_staged_bytes)
    {
        target->reason = "the version has " + std::to_string(total_bytes) +
                         " bytes, which exceeds staged_limit";
        return;
    }
    target->reason.clear();
    start_transfer(std::make_shared<chunk_store>(std::move(parsed.value())));
}

void version_fetch::request_chunks()
{
    std::vector<transfer_request> requests;
    with_planner([&](auto& planner)
                 { requests = planner.next_requests(now()); });
    for (const auto& wanted : requests)
    {
        if (wanted.source == transfer_request::source_kind::origin)
            request_from_origin(wanted.chunk);
        else
            request_from_peer(wanted);
    }
}

void version_fetch::request_from_peer(const transfer_request& wanted)
{
    message::chunk_request request;
    request.manifest = target->version;
    request.chunk = wanted.chunk;
    request.wait =
        wanted.source == transfer_request::source_kind::future_holder;
    if (!host.send(wanted.peer, request))
        with_planner(
            [&](auto& planner) {
                planner.record_refusal(wanted.chunk, wanted.peer, true, 0,
                                       now());
            });
}

void version_fetch::request_from_origin(chunk_index chunk)
{
    origin.fetch_chunk(target->chunks->get_manifest(), chunk,
                       [this, chunk](weight_source from, http_result response)
                       {
                           (from == weight_source::store
                                ? counts.weight_store_bytes
                                : counts.origin_bytes) += response.body.size();
                           if (!response.ok())
                               return origin_failed(chunk, response);
                           accept_chunk(chunk, std::move(response.body),
                                        instance_id());
                       });
}

void version_fetch::origin_failed(chunk_index chunk,
                                  const http_result& response)
{
    target->reason =
        "the origin did not return a chunk: " + failure_text(response);
    with_planner([&](auto& planner)
                 { planner.record_origin_failure(chunk, now()); });
}

void version_fetch::handle_have(const instance_id& from,
                                const result<message::have>& have)
{
    if (!have || !target || !target->chunks ||
        have.value().manifest != target->version)
        return;
    with_planner(
        [&](auto& planner)
        {
            planner.add_peer_chunks(from, have.value().chunks,
                                    have.value().queue, now());
        });
    add_listener(from);
}

void version_fetch::add_listener(const instance_id& peer)
{
    const auto* found = host.members().find(peer);
    const bool same_hall = found != nullptr && found->hall == settings().hall;
    announcer.add_listener(peer, same_hall, *target->chunks);
}

void version_fetch::record_chunk_request(const instance_id& from,
                                         const digest& version)
{
    announcer.record_request(now());
    if (has_manifest() && is_target(version))
        add_listener(from);
}

void version_fetch::handle_chunk_reply(
    const instance_id& from, const result<message::chunk_reply>& reply,
    std::string bytes)
{
    if (!reply || !target || !target->chunks ||
        reply.value().manifest != target->version)
        return;
    const auto& response = reply.value();
    if (response.status != message::chunk_status::given)
    {
        with_planner(
            [&](auto& planner)
            {
                planner.record_alive(from, now());
                planner.record_refusal(response.chunk, from,
                                       response.status !=
                                           message::chunk_status::busy,
                                       response.queue, now());
            });
        return;
    }
    count_peer_bytes(from, bytes.size());
    with_planner([&](auto& planner)
                 { planner.add_peer_chunks(from, {}, response.queue, now()); });
    downlink.enqueue(response.chunk, std::move(bytes), from);
}

void version_fetch::count_peer_bytes(const instance_id& from, std::size_t bytes)
{
    counts.peer_bytes += bytes;
    const auto* peer = host.members().find(from);
    if (peer == nullptr)
        return;
    counts.cross_hall_bytes += peer->hall != settings().hall ? bytes : 0;
    counts.cross_region_bytes += peer->region != settings().region ? bytes : 0;
}

void version_fetch::accept_chunk(chunk_index chunk, std::string bytes,
                                 const instance_id& from)
{
    auto& current = *target;
    const auto added = current.chunks->add(chunk, std::move(bytes));
    if (added == chunk_store::add_result::corrupt)
    {
        ++counts.corrupt_chunks;
        host.counters().count("chunks_corrupt_total");
        with_planner([&](auto& planner)
                     { planner.record_corrupt(chunk, from); });
        return request_chunks();
    }
    if (added == chunk_store::add_result::already_held)
    {
        ++counts.duplicate_chunks;
        return;
    }
    with_planner([&](auto& planner) { planner.add_chunk(chunk, now()); });
    announcer.add_chunk(chunk);
    stager.enqueue(chunk);
    uploads.serve_waiters(current.version, chunk);
    stager.advance();
    request_chunks();
    if (current.chunks->complete())
        transfer_finished();
}

void version_fetch::transfer_finished()
{
    target->reason.clear();
    log::state(
        "transfer_complete",
        {{"version", target->version.hex()},
         {"seconds", std::to_string(to_seconds(now() - target->started_at))}});
}

void version_fetch::handle_manifest_reply(
    const result<message::manifest_reply>& reply, const std::string& text)
{
    if (reply && target && reply.value().manifest == target->version &&
        !text.empty())
        accept_manifest(text);
}

void version_fetch::peer_lost(const instance_id& peer)
{
    announcer.peer_lost(peer);
    with_planner([&](auto& planner) { planner.record_peer_loss(peer); });
}

void version_fetch::tick()
{
    if (!target)
        return;
    if (!target->chunks)
        return request_manifest();
    stager.advance();
    request_chunks();
    announcer.announce(*target->chunks, now());
}

bool version_fetch::is_target(const digest& version) const
{
    return target && target->version == version;
}

transfer_progress version_fetch::progress() const
{
    if (!target)
        return {};
    transfer_progress progress;
    progress.reason = target->reason;
    if (target->chunks)
    {
        progress.bytes_done = target->chunks->memory_bytes();
        progress.bytes_total = target->chunks->get_manifest().total_bytes();
    }
    return progress;
}

nlohmann::json version_fetch::dump() const
{
    if (!target)
        return {};
    nlohmann::json state = {{"version", target->version.hex()},
                            {"reason", target->reason},
                            {"handed_over", stager.staged_count()}};
    if (!target->planner)
        return state;
    std::visit(
        [&](const auto& planner)
        {
            state["level"] = planner.stall_level();
            state["pending"] = planner.open_holder_requests();
        },
        *target->planner);
    return state;
}

} // namespace coursejunction::internal
