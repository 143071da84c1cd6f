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
      origin(owner.http(), owner.settings()),
      hand_over(engine, std::move(staged)),
      announcer([this](const instance_id& to, std::vector<chunk_index> chunks)
                { send_have(to, std::move(chunks)); })
{
}

const node_settings& version_fetch::settings() const
{
    return host.settings();
}

void version_fetch::want(const digest& version, rollout_objective weigh)
{
    if (wanted && wanted->version == version)
    {
        wanted->weigh = weigh;
        return;
    }
    stop();
    origin.restart();
    wanted.emplace();
    wanted->version = version;
    wanted->weigh = weigh;
    wanted->began = now();
    if (auto known = held.find(version))
        begin(std::move(known));
}

void version_fetch::stop()
{
    if (!wanted)
        return;
    origin.stop();
    uploads.give_up(wanted->version);
    wanted.reset();
    downlink.drop();
    hand_over.stop();
    announcer.stop();
}

void version_fetch::release()
{
    if (wanted && wanted->chunks)
        held.release_but(wanted->version);
}

void version_fetch::hand_over_again()
{
    if (!wanted || !wanted->chunks)
        return;
    origin.stop();
    downlink.drop();
    hand_over.again();
}

void version_fetch::participants(std::vector<participant> all)
{
    if (all == everybody)
        return;
    everybody = std::move(all);
    assign();
}

void version_fetch::begin(std::shared_ptr<staging> chunks)
{
    auto& fetching = *wanted;
    fetching.chunks = std::move(chunks);
    fetching.planner.emplace(
        make_planner(fetching.chunks->of(), settings(), fetching.weigh, now()));
    held.hold(fetching.version, fetching.chunks);
    release();
    assign();
    for (const auto at : fetching.chunks->held())
        with_planner([&](auto& planner) { planner.held(at, now()); });
    hand_over.begin(fetching.version, fetching.chunks);
    announcer.greet(*fetching.chunks);
    log::state("transfer_started",
               {{"version", fetching.version.hex()},
                {"chunks", std::to_string(fetching.chunks->of().size())},
                {"held", std::to_string(fetching.chunks->size())}});
}

void version_fetch::assign()
{
    with_planner([&](auto& planner)
                 { planner.participants(everybody, now()); });
    if (!wanted || !wanted->planner)
        return;
    choose_neighbours();
}

void version_fetch::choose_neighbours()
{
    const auto chosen =
        chosen_neighbours(wanted->version, everybody, settings().instance,
                          settings().hall, settings().transfer_neighbours);
    std::set<instance_id> all(chosen.begin(), chosen.end());
    with_planner(
        [&](auto& planner)
        {
            for (const auto& id : planner.watched())
                all.insert(id);
        });
    announcer.neighbours(std::move(all));
}

void version_fetch::send_have(const instance_id& to,
                              std::vector<chunk_index> chunks)
{
    message::have have;
    have.manifest = wanted->version;
    have.chunks = std::move(chunks);
    have.queue = static_cast<std::uint32_t>(uploads.size());
    host.send(to, have);
}

void version_fetch::ask_manifest()
{
    auto& fetching = *wanted;
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
    origin.ask_manifest(wanted->version,
                        [this](weight_source, const http_result& end)
                        {
                            counts.origin_bytes += end.body.size();
                            if (end.ok())
                                return take_manifest(end.body);
                            wanted->reason =
                                "origin does not give the manifest: " +
                                fault_text(end);
                        });
}

void version_fetch::take_manifest(const std::string& text)
{
    if (!wanted || wanted->chunks)
        return;
    auto parsed = manifest::parse(text, wanted->version);
    if (!parsed)
    {
        ++counts.corrupt;
        wanted->reason = parsed.error().message;
        return;
    }
    const auto total = parsed.value().total_bytes();
    if (static_cast<double>(total) > settings().max_staged_bytes)
    {
        wanted->reason = "the version has " + std::to_string(total) +
                         " bytes, more than staged_limit";
        return;
    }
    wanted->reason.clear();
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
    request.manifest = wanted->version;
    request.chunk = one.chunk;
    request.wait = one.how == transfer_request::kind::waiting;
    if (!host.send(one.peer, request))
        with_planner([&](auto& planner)
                     { planner.refused(one.chunk, one.peer, true, 0, now()); });
}

void version_fetch::ask_origin(chunk_index chunk)
{
    origin.ask_chunk(wanted->chunks->of(), chunk,
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
    wanted->reason = "origin does not give a chunk: " + fault_text(end);
    with_planner([&](auto& planner) { planner.origin_failed(chunk, now()); });
}

void version_fetch::heard_have(const instance_id& from,
                               const result<message::have>& have)
{
    if (!have || !wanted || !wanted->chunks ||
        have.value().manifest != wanted->version)
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
    announcer.listen(peer, near, *wanted->chunks);
}

void version_fetch::asked(const instance_id& from, const digest& version)
{
    announcer.asked(now());
    if (begun() && wants(version))
        listen(from);
}

void version_fetch::replied(const instance_id& from,
                            const result<message::chunk_reply>& reply,
                            std::string bytes)
{
    if (!reply || !wanted || !wanted->chunks ||
        reply.value().manifest != wanted->version)
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
    downlink.carry(got.chunk, std::move(bytes), from);
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
    auto& fetching = *wanted;
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
    announcer.added(chunk);
    hand_over.offer(chunk);
    uploads.release(fetching.version, chunk);
    hand_over.move_on();
    ask_chunks();
    if (fetching.chunks->complete())
        finished();
}

void version_fetch::finished()
{
    wanted->reason.clear();
    log::state(
        "transfer_complete",
        {{"version", wanted->version.hex()},
         {"seconds", std::to_string(to_seconds(now() - wanted->began))}});
}

void version_fetch::replied_manifest(
    const result<message::manifest_reply>& reply, const std::string& text)
{
    if (reply && wanted && reply.value().manifest == wanted->version &&
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
    if (!wanted)
        return;
    if (!wanted->chunks)
        return ask_manifest();
    hand_over.move_on();
    ask_chunks();
    announcer.tell(*wanted->chunks, now());
}

bool version_fetch::wants(const digest& version) const
{
    return wanted && wanted->version == version;
}

transfer_progress version_fetch::progress() const
{
    if (!wanted)
        return {};
    transfer_progress made;
    made.reason = wanted->reason;
    if (wanted->chunks)
    {
        made.done = wanted->chunks->bytes();
        made.total = wanted->chunks->of().total_bytes();
    }
    return made;
}

nlohmann::json version_fetch::dump() const
{
    if (!wanted)
        return {};
    nlohmann::json made = {{"version", wanted->version.hex()},
                           {"reason", wanted->reason},
                           {"handed_over", hand_over.size()}};
    if (!wanted->planner)
        return made;
    std::visit(
        [&](const auto& planner)
        {
            made["level"] = planner.level();
            made["pending"] = planner.pending();
        },
        *wanted->planner);
    return made;
}

} // namespace coursejunction::internal
