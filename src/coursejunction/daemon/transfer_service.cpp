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
                   chunk_filter change)
        : host(owner), uploads(
                           owner,
                           [this](const digest& version, chunk_index chunk)
                           { return held.find(version, chunk); },
                           std::move(change)),
          fetching(owner, engine, std::move(staged), held, uploads)
    {
    }

    bool received(const instance_id& from, frame& one)
    {
        switch (one.type)
        {
        case frame_type::have:
            fetching.heard_have(from, decode<message::have>(one.head));
            return true;
        case frame_type::chunk_request:
            asked(from, decode<message::chunk_request>(one.head));
            return true;
        case frame_type::chunk_reply:
            fetching.replied(from, decode<message::chunk_reply>(one.head),
                             std::move(one.payload));
            return true;
        case frame_type::manifest_request:
            asked_manifest(from, decode<message::manifest_request>(one.head));
            return true;
        case frame_type::manifest_reply:
            fetching.replied_manifest(decode<message::manifest_reply>(one.head),
                                      one.payload);
            return true;
        default:
            return false;
        }
    }

    void asked(const instance_id& from,
               const result<message::chunk_request>& request)
    {
        if (!request)
            return;
        const auto& ask = request.value();
        const bool wanted = fetching.wants(ask.manifest);
        const auto found = held.find(ask.manifest);
        if (!found)
            return refuse(from, ask,
                          wanted ? message::chunk_status::absent
                                 : message::chunk_status::foreign);
        fetching.asked(from, ask.manifest);
        const bool here = found->contains(ask.chunk);
        if (!here && ask.wait && wanted)
            return uploads.wait({from, ask.manifest, ask.chunk});
        if (!here)
            return refuse(from, ask, message::chunk_status::absent);
        if (ask.wait)
            return uploads.urge({from, ask.manifest, ask.chunk});
        if (!uploads.offer({from, ask.manifest, ask.chunk}))
            refuse(from, ask, message::chunk_status::busy);
    }

    void refuse(const instance_id& to, const message::chunk_request& ask,
                message::chunk_status why)
    {
        message::chunk_reply reply;
        reply.manifest = ask.manifest;
        reply.chunk = ask.chunk;
        reply.status = why;
        reply.queue = static_cast<std::uint32_t>(uploads.size());
        host.send(to, reply);
    }

    void asked_manifest(const instance_id& from,
                        const result<message::manifest_request>& request)
    {
        if (!request)
            return;
        message::manifest_reply reply;
        reply.manifest = request.value().manifest;
        const auto found = held.find(reply.manifest);
        host.send(from, reply,
                  found ? std::string_view(found->of().text())
                        : std::string_view{});
    }

    void tick()
    {
        if (!fetching.active())
            return;
        uploads.limit_to(governor.portion());
        fetching.tick();
    }

    node& host;
    chunk_uploader uploads;
    transfer_governor governor;
    internal::held_versions held;
    internal::version_fetch fetching;
};

transfer_service::transfer_service(node& owner, upstream_client& engine,
                                   staged_callback staged, chunk_filter filter)
    : self(std::make_unique<implementation>(owner, engine, std::move(staged),
                                            std::move(filter)))
{
}

transfer_service::~transfer_service() = default;

void transfer_service::want(const digest& version, rollout_objective weigh)
{
    self->fetching.want(version, weigh);
}

void transfer_service::want_nothing()
{
    self->fetching.stop();
}

void transfer_service::serving(const digest& version)
{
    self->held.serving(version);
    self->fetching.release();
}

void transfer_service::hand_over_again()
{
    self->fetching.hand_over_again();
}

void transfer_service::participants(std::vector<participant> all)
{
    self->fetching.participants(std::move(all));
}

bool transfer_service::received(const instance_id& from, frame& one)
{
    return self->received(from, one);
}

void transfer_service::peer_lost(const instance_id& peer)
{
    self->uploads.drop(peer);
    self->fetching.peer_lost(peer);
}

void transfer_service::tick()
{
    self->tick();
}

void transfer_service::first_token(std::chrono::microseconds took)
{
    const bool running = self->fetching.begun() &&
                         (!self->fetching.complete() || !self->uploads.empty());
    self->governor.first_token(took, running);
}

bool transfer_service::idle() const
{
    return self->uploads.empty();
}

transfer_progress transfer_service::progress() const
{
    return self->fetching.progress();
}

const transfer_counters& transfer_service::counters() const
{
    return self->fetching.counters();
}

std::string transfer_service::dump() const
{
    const auto& counts = self->fetching.counters();
    const auto& announced = self->fetching.announced();
    nlohmann::json held = nlohmann::json::array();
    for (const auto& [version, chunks] : self->held.all())
        held.push_back({{"version", version.hex()},
                        {"bytes", chunks->bytes()},
                        {"complete", chunks->complete()}});
    return nlohmann::json{{"held", std::move(held)},
                          {"wanted", self->fetching.dump()},
                          {"listeners", announced.listener_count()},
                          {"neighbours", announced.neighbour_count()},
                          {"upload_queue", self->uploads.size()},
                          {"link_portion", self->uploads.portion()},
                          {"origin_bytes", counts.origin_bytes},
                          {"weight_store_bytes", counts.weight_store_bytes},
                          {"peer_bytes", counts.peer_bytes},
                          {"cross_hall_bytes", counts.cross_hall_bytes},
                          {"cross_region_bytes", counts.cross_region_bytes},
                          {"sent_bytes", self->uploads.bytes()},
                          {"corrupt", counts.corrupt},
                          {"duplicate", counts.duplicate}}
        .dump();
}

} // namespace coursejunction
