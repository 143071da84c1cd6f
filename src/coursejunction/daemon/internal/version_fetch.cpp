#include "coursejunction/daemon/internal/version_fetch.hpp"

#include <set>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/daemon/internal/transfer_peers.hpp"

namespace coursejunction::internal
{

namespace
{

/*! @brief Time between two requests for a manifest. */
constexpr milliseconds manifest_interval{100};

/*! @brief Requests for a manifest to one rank before the next stands in. */
constexpr unsigned manifest_attempts_each = 5;

} // namespace

version_fetch::version_fetch(node& owner, upstream_client& engine,
                             staged_callback staged, held_versions& versions,
                             chunk_uploader& sender)
    : host(owner), held(versions), uploads(sender),
      downlink(
          owner.loop(), owner.settings().download_rate,
          [this](chunk_index chunk, std::string bytes, const instance_id& from)
          { arrive(chunk, std::move(bytes), from); }),
      origin(owner.http(), owner.settings()), stager(engine, std::move(staged)),
      announcer([this](const instance_id& to, std::vector<chunk_index> chunks)
                { send_have(to, std::move(chunks)); })
{
}

const node_settings& version_fetch::settings() const
{
    return host.settings();
}

void version_fetch::set_target(const digest& version, weighting weigh)
{
    if (target && target->version == version)
    {
        target->weigh = weigh;
        return;
    }
    clear_target();
    origin.reset();
    target.emplace();
    target->version = version;
    target->weigh = weigh;
    target->began = now();
    if (auto known = held.find(version))
        begin(std::move(known));
}

void version_fetch::clear_target()
{
    if (!target)
        return;
    origin.cancel_all();
    uploads.give_up(target->version);
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
    if (all == everybody)
        return;
    everybody = std::move(all);
    assign();
}

void version_fetch::begin(std::shared_ptr<staging> chunks)
{
    auto& fetching = *target;
    fetching.chunks = std::move(chunks);
    fetching.planner.emplace(
        make_planner(fetching.chunks->of(), settings(), fetching.weigh, now()));
    held.add(fetching.version, fetching.chunks);
    release_unused();
    assign();
    for (const auto at : fetching.chunks->held())
        with_planner([&](auto& planner) { planner.held(at, now()); });
    stager.start(fetching.version, fetching.chunks);
    announcer.send_all_held(*fetching.chunks);
    log::state("transfer_started",
               {{"version", fetching.version.hex()},
                {"chunks", std::to_string(fetching.chunks->of().size())},
                {"held", std::to_string(fetching.chunks->size())}});
}

void version_fetch::assign()
{
    with_planner([&](auto& planner)
                 { planner.participants(everybody, now()); });
    if (!target || !target->planner)
        return;
    choose_neighbours();
}

void version_fetch::choose_neighbours()
{
    const auto chosen =
        chosen_neighbours(target->version, everybody, settings().instance,
                          settings().hall, settings().transfer_neighbours);
    std::set<instance_id> all(chosen.begin(), chosen.end());
    with_planner(
        [&](auto& planner)
        {
            for (const auto& id : planner.watched())
                all.insert(id);
        });
    announcer.set_neighbours(std::move(all));
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

void version_fetch::ask_manifest()
{
    auto& fetching = *target;
    if (now() < fetching.manifest_after || everybody.empty())
        return;
    fetching.manifest_after = now() + manifest_interval;
    const auto source = manifest_source(
        fetching.version, everybody, settings().instance, settings().hall,
        fetching.manifest_attempts / manifest_attempts_each);
    ++fetching.manifest_attempts;
    if (!source)
        return ask_origin_manifest();
    message::manifest_request request;
    request.manifest = fetching.version;
    host.send(*source, request);
}

void version_fetch::ask_origin_manifest()
{
    origin.fetch_manifest(target->version,
                          [this](weight_source, const http_result& end)
                          {
                              counts.origin_bytes += end.body.size();
                              if (end.ok())
                                  return take_manifest(end.body);
                              target->reason =
                                  "origin does not give the manifest: " +
                                  fault_text(end);
                          });
}

void version_fetch::take_manifest(const std::string& text)
{
    if (!target || target->chunks)
        return;
    auto parsed = manifest::parse(text, target->version);
    if (!parsed)
    {
        ++counts.corrupt;
        target->reason = parsed.error().message;
        return;
    }
    const auto total = parsed.value().total_bytes();
    if (static_cast<double>(total) > settings().staged_limit)
    {
        target->reason = "the version has " + std::to_string(total) +
                         " bytes, more than staged_limit";
        return;
    }
    target->reason.clear();
    begin(std::make_shared<staging>(std::move(parsed.value())));
}

void version_fetch::ask_chunks()
{
    std::vector<transfer_request> requests;
    with_planner([&](auto& planner) { requests = planner.next(now()); });
    for (const auto& one : requests)
    {
        if (one.how == transfer_request::kind::origin)
            ask_origin(one.chunk);
        else
            ask_peer(one);
    }
}

void version_fetch::ask_peer(const transfer_request& one)
{
    message::chunk_request request;
    request.manifest = target->version;
    request.chunk = one.chunk;
    request.wait = one.how == transfer_request::kind::waiting;
    if (!host.send(one.peer, request))
        with_planner([&](auto& planner)
                     { planner.refused(one.chunk, one.peer, true, 0, now()); });
}

void version_fetch::ask_origin(chunk_index chunk)
{
    origin.fetch_chunk(target->chunks->of(), chunk,
                       [this, chunk](weight_source from, http_result end)
                       {
                           (from == weight_source::store
                                ? counts.weight_store_bytes
                                : counts.origin_bytes) += end.body.size();
                           if (!end.ok())
                               return origin_failed(chunk, end);
                           arrive(chunk, std::move(end.body), instance_id());
                       });
}

void version_fetch::origin_failed(chunk_index chunk, const http_result& end)
{
    target->reason = "origin does not give a chunk: " + fault_text(end);
    with_planner([&](auto& planner) { planner.origin_failed(chunk, now()); });
}

void version_fetch::handle_have(const instance_id& from,
                                const result<message::have>& have)
{
    if (!have || !target || !target->chunks ||
        have.value().manifest != target->version)
        return;
    with_planner(
        [&](auto& planner) {
            planner.holds(from, have.value().chunks, have.value().queue, now());
        });
    listen(from);
}

void version_fetch::listen(const instance_id& peer)
{
    const auto* known = host.members().find(peer);
    const bool near = known != nullptr && known->hall == settings().hall;
    announcer.add_listener(peer, near, *target->chunks);
}

void version_fetch::record_chunk_request(const instance_id& from,
                                         const digest& version)
{
    announcer.record_request(now());
    if (has_manifest() && is_target(version))
        listen(from);
}

void version_fetch::handle_chunk_reply(
    const instance_id& from, const result<message::chunk_reply>& reply,
    std::string bytes)
{
    if (!reply || !target || !target->chunks ||
        reply.value().manifest != target->version)
        return;
    const auto& got = reply.value();
    if (got.status != message::chunk_status::given)
    {
        with_planner(
            [&](auto& planner)
            {
                planner.heard(from, now());
                planner.refused(got.chunk, from,
                                got.status != message::chunk_status::busy,
                                got.queue, now());
            });
        return;
    }
    count_peer_bytes(from, bytes.size());
    with_planner([&](auto& planner)
                 { planner.holds(from, {}, got.queue, now()); });
    downlink.enqueue(got.chunk, std::move(bytes), from);
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

void version_fetch::arrive(chunk_index chunk, std::string bytes,
                           const instance_id& from)
{
    auto& fetching = *target;
    const auto end = fetching.chunks->add(chunk, std::move(bytes));
    if (end == staging::addition::corrupt)
    {
        ++counts.corrupt;
        host.counters().count("chunks_corrupt_total");
        with_planner([&](auto& planner) { planner.corrupt(chunk, from); });
        return ask_chunks();
    }
    if (end == staging::addition::already_held)
    {
        ++counts.duplicate;
        return;
    }
    with_planner([&](auto& planner) { planner.held(chunk, now()); });
    announcer.add_chunk(chunk);
    stager.enqueue(chunk);
    uploads.release(fetching.version, chunk);
    stager.advance();
    ask_chunks();
    if (fetching.chunks->complete())
        finished();
}

void version_fetch::finished()
{
    target->reason.clear();
    log::state(
        "transfer_complete",
        {{"version", target->version.hex()},
         {"seconds", std::to_string(to_seconds(now() - target->began))}});
}

void version_fetch::handle_manifest_reply(
    const result<message::manifest_reply>& reply, const std::string& text)
{
    if (reply && target && reply.value().manifest == target->version &&
        !text.empty())
        take_manifest(text);
}

void version_fetch::peer_lost(const instance_id& peer)
{
    announcer.peer_lost(peer);
    with_planner([&](auto& planner) { planner.gone(peer); });
}

void version_fetch::tick()
{
    if (!target)
        return;
    if (!target->chunks)
        return ask_manifest();
    stager.advance();
    ask_chunks();
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
    transfer_progress made;
    made.reason = target->reason;
    if (target->chunks)
    {
        made.done = target->chunks->bytes();
        made.total = target->chunks->of().total_bytes();
    }
    return made;
}

nlohmann::json version_fetch::dump() const
{
    if (!target)
        return {};
    nlohmann::json made = {{"version", target->version.hex()},
                           {"reason", target->reason},
                           {"handed_over", stager.staged_count()}};
    if (!target->planner)
        return made;
    std::visit(
        [&](const auto& planner)
        {
            made["level"] = planner.level();
            made["pending"] = planner.pending();
        },
        *target->planner);
    return made;
}

} // namespace coursejunction::internal
