#include "coursejunction/daemon/transfer_service.hpp"

#include <nlohmann/json.hpp>

#include "coursejunction/daemon/internal/held_versions.hpp"
#include "coursejunction/daemon/internal/version_fetch.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/upstream_client.hpp"
#include "coursejunction/transfer/transfer_governor.hpp"

namespace coursejunction
{

struct transfer_service::implementation
{
    implementation(node& owner, upstream_client& engine, staged_callback staged,
                   chunk_filter filter)
        : host(owner), uploader(
                           owner,
                           [this](const digest& version, chunk_index chunk)
                           { return held.find(version, chunk); },
                           std::move(filter)),
          fetch(owner, engine, std::move(staged), held, uploader)
    {
    }

    bool handle_frame(const instance_id& from, frame& received)
    {
        switch (received.type)
        {
        case frame_type::have:
            fetch.handle_have(from, decode<message::have>(received.head));
            return true;
        case frame_type::chunk_request:
            handle_chunk_request(from,
                                 decode<message::chunk_request>(received.head));
            return true;
        case frame_type::chunk_reply:
            fetch.handle_chunk_reply(
                from, decode<message::chunk_reply>(received.head),
                std::move(received.payload));
            return true;
        case frame_type::manifest_request:
            handle_manifest_request(
                from, decode<message::manifest_request>(received.head));
            return true;
        case frame_type::manifest_reply:
            fetch.handle_manifest_reply(
                decode<message::manifest_reply>(received.head),
                received.payload);
            return true;
        default:
            return false;
        }
    }

    void handle_chunk_request(const instance_id& from,
                              const result<message::chunk_request>& decoded)
    {
        if (!decoded)
            return;
        const auto& request = decoded.value();
        const bool wanted = fetch.is_target(request.manifest);
        const auto found = held.find(request.manifest);
        if (!found)
            return refuse(from, request,
                          wanted ? message::chunk_status::absent
                                 : message::chunk_status::foreign);
        fetch.record_chunk_request(from, request.manifest);
        const bool chunk_held = found->contains(request.chunk);
        if (!chunk_held && request.wait && wanted)
            return uploader.add_waiter({from, request.manifest, request.chunk});
        if (!chunk_held)
            return refuse(from, request, message::chunk_status::absent);
        if (request.wait)
            return uploader.enqueue_first(
                {from, request.manifest, request.chunk});
        if (!uploader.offer({from, request.manifest, request.chunk}))
            refuse(from, request, message::chunk_status::busy);
    }

    void refuse(const instance_id& to, const message::chunk_request& request,
                message::chunk_status status)
    {
        message::chunk_reply reply;
        reply.manifest = request.manifest;
        reply.chunk = request.chunk;
        reply.status = status;
        reply.queue = static_cast<std::uint32_t>(uploader.size());
        host.send(to, reply);
    }

    void
    handle_manifest_request(const instance_id& from,
                            const result<message::manifest_request>& request)
    {
        if (!request)
            return;
        message::manifest_reply reply;
        reply.manifest = request.value().manifest;
        const auto found = held.find(reply.manifest);
        host.send(from, reply,
                  found ? std::string_view(found->get_manifest().text())
                        : std::string_view{});
    }

    void tick()
    {
        if (!fetch.has_target())
            return;
        uploader.set_link_fraction(governor.link_fraction());
        fetch.tick();
    }

    node& host;
    chunk_uploader uploader;
    transfer_governor governor;
    internal::held_versions held;
    internal::version_fetch fetch;
};

transfer_service::transfer_service(node& owner, upstream_client& engine,
                                   staged_callback staged, chunk_filter filter)
    : self(std::make_unique<implementation>(owner, engine, std::move(staged),
                                            std::move(filter)))
{
}

transfer_service::~transfer_service() = default;

void transfer_service::set_target(const digest& version,
                                  rollout_objective weigh)
{
    self->fetch.set_target(version, weigh);
}

void transfer_service::clear_target()
{
    self->fetch.clear_target();
}

void transfer_service::set_served_version(const digest& version)
{
    self->held.set_served(version);
    self->fetch.release_unused();
}

void transfer_service::restage()
{
    self->fetch.restage();
}

void transfer_service::set_participants(std::vector<participant> all)
{
    self->fetch.set_participants(std::move(all));
}

bool transfer_service::handle_frame(const instance_id& from, frame& received)
{
    return self->handle_frame(from, received);
}

void transfer_service::peer_lost(const instance_id& peer)
{
    self->uploader.remove_peer(peer);
    self->fetch.peer_lost(peer);
}

void transfer_service::tick()
{
    self->tick();
}

void transfer_service::record_first_token(std::chrono::microseconds took)
{
    const bool transferring =
        self->fetch.has_manifest() &&
        (!self->fetch.complete() || !self->uploader.empty());
    self->governor.record_first_token(took, transferring);
}

bool transfer_service::idle() const
{
    return self->uploader.empty();
}

transfer_progress transfer_service::progress() const
{
    return self->fetch.progress();
}

const transfer_counters& transfer_service::counters() const
{
    return self->fetch.counters();
}

std::string transfer_service::dump() const
{
    const auto& counts = self->fetch.counters();
    const auto& announced = self->fetch.announcements();
    nlohmann::json held = nlohmann::json::array();
    for (const auto& [version, chunks] : self->held.all())
        held.push_back({{"version", version.hex()},
                        {"bytes", chunks->memory_bytes()},
                        {"complete", chunks->complete()}});
    return nlohmann::json{{"held", std::move(held)},
                          {"wanted", self->fetch.dump()},
                          {"listeners", announced.listener_count()},
                          {"neighbours", announced.neighbour_count()},
                          {"upload_queue", self->uploader.size()},
                          {"link_portion", self->uploader.link_fraction()},
                          {"origin_bytes", counts.origin_bytes},
                          {"weight_store_bytes", counts.weight_store_bytes},
                          {"peer_bytes", counts.peer_bytes},
                          {"cross_hall_bytes", counts.cross_hall_bytes},
                          {"cross_region_bytes", counts.cross_region_bytes},
                          {"sent_bytes", self->uploader.sent_bytes()},
                          {"corrupt", counts.corrupt_chunks},
                          {"duplicate", counts.duplicate_chunks}}
        .dump();
}

} // namespace coursejunction
