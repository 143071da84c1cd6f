#include "coursejunction/daemon/transfer_service.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>

#include <nlohmann/json.hpp>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/pacing.hpp"
#include "coursejunction/core/rendezvous.hpp"
#include "coursejunction/daemon/node.hpp"
#include "coursejunction/daemon/upstream_client.hpp"
#include "coursejunction/transfer/origin_fallback.hpp"
#include "coursejunction/transfer/staging.hpp"
#include "coursejunction/transfer/transfer_governor.hpp"
#include "coursejunction/transfer/transfer_planner.hpp"

namespace coursejunction
{

namespace internal
{

constexpr std::size_t hand_over_limit = 4;
constexpr milliseconds have_batch{100};
constexpr milliseconds have_interval{500};
constexpr milliseconds manifest_interval{100};
constexpr milliseconds origin_timeout{60'000};
constexpr unsigned manifest_attempts_each = 5;
constexpr std::chrono::microseconds send_ahead{2000};
constexpr std::size_t max_listeners = 64;
constexpr std::chrono::seconds quiet_after{10};

using any_planner = std::variant<
    transfer_planner<swarm_policy>, transfer_planner<stripe_policy>,
    transfer_planner<chain_policy>, transfer_planner<origin_policy>>;

any_planner make_planner(const manifest& of, const node_settings& settings,
                         weighting weigh, time_point now)
{
    planner_limits limits;
    limits.seed =
        static_cast<std::uint32_t>(stable_hash(settings.instance.value())) | 1U;
    const auto& own = settings.instance;
    switch (settings.policy)
    {
    case transfer_policy::stripes:
        limits.waiting = of.size();
        return transfer_planner<stripe_policy>(of, own, limits, {}, now);
    case transfer_policy::chain:
        limits.waiting = of.size();
        return transfer_planner<chain_policy>(of, own, limits, {}, now);
    case transfer_policy::origin_only:
        return transfer_planner<origin_policy>(of, own, limits, {}, now);
    case transfer_policy::swarm:
        break;
    }
    const double extra = weigh == weighting::time ? settings.origin_extra : 0;
    return transfer_planner<swarm_policy>(of, own, limits, swarm_policy(extra),
                                          now);
}

/*! @brief The fetch of the wanted version. */
struct fetch
{
    digest version;
    weighting weigh{weighting::time};
    std::shared_ptr<staging> chunks;
    std::optional<any_planner> planner;
    std::map<chunk_index, http_client::call_id> origin_calls;
    std::deque<chunk_index> to_hand_over;
    std::size_t handing_over{0};
    std::size_t handed_over{0};
    bool manifest_handed{false};
    bool told{false};
    unsigned manifest_attempts{0};
    time_point manifest_after{};
    bool manifest_asked_origin{false};
    std::uint64_t serial{0};
    std::string reason;
    time_point began{};
    origin_fallback sources{false};
};

} // namespace internal

struct transfer_service::implementation
{
    using fetch = internal::fetch;

    implementation(node& owner, upstream_client& to, staged_callback call,
                   chunk_filter change)
        : host(owner), engine(to), staged(std::move(call)),
          uploads(
              owner,
              [this](const digest& version, chunk_index chunk)
              { return find(version, chunk); },
              std::move(change)),
          down(owner.settings().download_rate)
    {
    }

    static time_point now() { return event_loop::now(); }

    /*! @brief Finds a chunk of any version that is held. */
    std::shared_ptr<const std::string> find(const digest& version,
                                            chunk_index chunk) const
    {
        const auto known = held.find(version);
        return known == held.end() ? nullptr : known->second->find(chunk);
    }

    const node_settings& settings() const { return host.settings(); }

    // What is wanted.

    void want(const digest& version, weighting weigh)
    {
        if (wanted && wanted->version == version)
        {
            wanted->weigh = weigh;
            return;
        }
        stop();
        wanted.emplace();
        wanted->sources = origin_fallback(!settings().weight_store_url.empty());
        wanted->version = version;
        wanted->weigh = weigh;
        wanted->serial = ++serials;
        wanted->began = now();
        const auto known = held.find(version);
        if (known != held.end())
            begin(known->second);
    }

    void stop()
    {
        if (!wanted)
            return;
        for (const auto& [chunk, call] : wanted->origin_calls)
            host.http().cancel(call);
        uploads.give_up(wanted->version);
        wanted.reset();
        listeners.clear();
        neighbours.clear();
        fresh.clear();
        unheard.clear();
        release();
    }

    /*! @brief Drops versions that are neither wanted nor served. A version
     * that was stopped half-way is kept until the next one has taken over
     * the chunks that both have in common. */
    void release()
    {
        std::erase_if(held,
                      [&](const auto& one)
                      {
                          if (one.first == served)
                              return false;
                          if (wanted && one.first == wanted->version)
                              return false;
                          return wanted && wanted->chunks;
                      });
    }

    void begin(std::shared_ptr<staging> chunks)
    {
        auto& fetching = *wanted;
        fetching.chunks = std::move(chunks);
        fetching.planner.emplace(internal::make_planner(
            fetching.chunks->of(), settings(), fetching.weigh, now()));
        for (const auto& [version, other] : held)
        {
            if (version != fetching.version)
                fetching.chunks->adopt(*other);
        }
        held[fetching.version] = fetching.chunks;
        release();
        assign();
        for (const auto at : fetching.chunks->held())
        {
            with_planner([&](auto& planner) { planner.held(at, now()); });
            fetching.to_hand_over.push_back(at);
        }
        greet();
        log::state("transfer_started",
                   {{"version", fetching.version.hex()},
                    {"chunks", std::to_string(fetching.chunks->of().size())},
                    {"held", std::to_string(fetching.chunks->size())}});
    }

    template <typename Call>
    void with_planner(Call call)
    {
        if (wanted && wanted->planner)
            std::visit(call, *wanted->planner);
    }

    void assign()
    {
        with_planner([&](auto& planner)
                     { planner.participants(everybody, now()); });
        if (!wanted || !wanted->planner)
            return;
        choose_neighbours();
    }

    /*! @brief Picks half of the neighbours; about as many pick this one. */
    void choose_neighbours()
    {
        std::vector<instance_id> near;
        hall_id own_hall = settings().hall;
        for (const auto& one : everybody)
        {
            if (one.hall == own_hall && one.id != settings().instance)
                near.push_back(one.id);
        }
        auto chosen =
            rendezvous_rank(settings().instance.value() + wanted->version.hex(),
                            near, (settings().transfer_neighbours + 1) / 2);
        neighbours = {chosen.begin(), chosen.end()};
        with_planner(
            [&](auto& planner)
            {
                for (const auto& id : planner.watched())
                    neighbours.insert(id);
            });
    }

    /*! @brief Makes this instance known to its neighbours, with everything
     * it holds; they answer in kind. */
    void greet()
    {
        for (const auto& id : neighbours)
            send_have(id, wanted->chunks->held());
    }

    void send_have(const instance_id& to, std::vector<chunk_index> chunks)
    {
        message::have have;
        have.manifest = wanted->version;
        have.chunks = std::move(chunks);
        have.queue = static_cast<std::uint32_t>(uploads.size());
        host.send(to, have);
    }

    // The manifest.

    /*! @brief Picks whom to ask: the first rank asks the origin, the first of
     * each hall asks that one, everybody else asks their hall's first. After
     * some attempts the next ranks stand in. */
    std::optional<instance_id> manifest_source()
    {
        const auto turn =
            wanted->manifest_attempts / internal::manifest_attempts_each;
        std::vector<instance_id> all;
        std::vector<instance_id> near;
        for (const auto& one : everybody)
        {
            all.push_back(one.id);
            if (one.hall == settings().hall)
                near.push_back(one.id);
        }
        const auto key = wanted->version.hex();
        const auto first = rendezvous_rank(key, all, turn + 1);
        const auto head = rendezvous_rank(key, near, turn + 1);
        const auto& own = settings().instance;
        if (first.empty() || first.size() <= turn ||
            std::find(first.begin(), first.end(), own) != first.end())
            return std::nullopt;
        if (head.empty() || head.size() <= turn ||
            std::find(head.begin(), head.end(), own) != head.end())
            return first.back();
        return head.back();
    }

    void ask_manifest()
    {
        auto& fetching = *wanted;
        if (now() < fetching.manifest_after || everybody.empty())
            return;
        fetching.manifest_after = now() + internal::manifest_interval;
        const auto source = manifest_source();
        ++fetching.manifest_attempts;
        if (!source)
            return ask_origin_manifest();
        message::manifest_request request;
        request.manifest = fetching.version;
        host.send(*source, request);
    }

    void ask_origin_manifest()
    {
        auto& fetching = *wanted;
        if (fetching.manifest_asked_origin)
            return;
        fetching.manifest_asked_origin = true;
        http_call call;
        const auto from = fetching.sources.current();
        call.url = source_url(from) + "/manifests/" + fetching.version.hex();
        call.timeout = internal::origin_timeout;
        host.http().start(
            std::move(call),
            [this, from, serial = fetching.serial](const http_result& end)
            {
                if (!wanted || wanted->serial != serial)
                    return;
                wanted->manifest_asked_origin = false;
                counts.origin_bytes += end.body.size();
                if (end.ok())
                    return take_manifest(end.body);
                wanted->sources.failed(from);
                wanted->reason =
                    "origin does not give the manifest: " +
                    (end.fault.empty() ? "status " + std::to_string(end.status)
                                       : end.fault);
            });
    }

    [[nodiscard]] const std::string& source_url(weight_source from) const
    {
        return from == weight_source::store ? settings().weight_store_url
                                            : settings().origin_url;
    }

    void take_manifest(const std::string& text)
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
        if (static_cast<double>(total) > settings().staged_limit)
        {
            wanted->reason = "the version has " + std::to_string(total) +
                             " bytes, more than staged_limit";
            return;
        }
        wanted->reason.clear();
        begin(std::make_shared<staging>(std::move(parsed.value())));
    }

    // Asking.

    void ask_chunks()
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

    void ask_peer(const transfer_request& one)
    {
        message::chunk_request request;
        request.manifest = wanted->version;
        request.chunk = one.chunk;
        request.wait = one.how == transfer_request::kind::waiting;
        if (!host.send(one.peer, request))
            with_planner(
                [&](auto& planner)
                { planner.refused(one.chunk, one.peer, true, 0, now()); });
    }

    void ask_origin(chunk_index chunk)
    {
        auto& fetching = *wanted;
        const auto old = fetching.origin_calls.find(chunk);
        if (old != fetching.origin_calls.end())
            host.http().cancel(old->second);
        const auto& plan = fetching.chunks->of();
        const auto first = plan.offset(chunk);
        const auto last = first + plan.chunk_bytes(chunk) - 1;
        const auto from = fetching.sources.current();
        http_call call;
        call.url = source_url(from) + plan.path();
        call.headers["Range"] =
            "bytes=" + std::to_string(first) + "-" + std::to_string(last);
        call.timeout = internal::origin_timeout;
        fetching.origin_calls[chunk] = host.http().start(
            std::move(call),
            [this, chunk, from, serial = fetching.serial](http_result end)
            {
                if (!wanted || wanted->serial != serial)
                    return;
                wanted->origin_calls.erase(chunk);
                (from == weight_source::store ? counts.weight_store_bytes
                                              : counts.origin_bytes) +=
                    end.body.size();
                if (!end.ok())
                    return origin_failed(chunk, from, end);
                arrive(chunk, std::move(end.body), instance_id());
            });
    }

    void origin_failed(chunk_index chunk, weight_source from,
                       const http_result& end)
    {
        wanted->sources.failed(from);
        wanted->reason =
            "origin does not give a chunk: " +
            (end.fault.empty() ? "status " + std::to_string(end.status)
                               : end.fault);
        with_planner([&](auto& planner)
                     { planner.origin_failed(chunk, now()); });
    }

    // Receiving.

    bool received(const instance_id& from, frame& one)
    {
        switch (one.type)
        {
        case frame_type::have:
            heard_have(from, decode<message::have>(one.head));
            return true;
        case frame_type::chunk_request:
            asked(from, decode<message::chunk_request>(one.head));
            return true;
        case frame_type::chunk_reply:
            replied(from, decode<message::chunk_reply>(one.head),
                    std::move(one.payload));
            return true;
        case frame_type::manifest_request:
            asked_manifest(from, decode<message::manifest_request>(one.head));
            return true;
        case frame_type::manifest_reply:
            replied_manifest(decode<message::manifest_reply>(one.head),
                             one.payload);
            return true;
        default:
            return false;
        }
    }

    void heard_have(const instance_id& from, const result<message::have>& have)
    {
        if (!have || !wanted || !wanted->chunks ||
            have.value().manifest != wanted->version)
            return;
        with_planner(
            [&](auto& planner) {
                planner.holds(from, have.value().chunks, have.value().queue,
                              now());
            });
        listen(from);
    }

    /*! @brief Counts a peer as one that wants to hear what is held here; a
     * new one is told everything. */
    void listen(const instance_id& peer)
    {
        if (listeners.contains(peer) ||
            listeners.size() >= internal::max_listeners)
            return;
        const auto* known = host.members().find(peer);
        listeners[peer] = known != nullptr && known->hall == settings().hall;
        send_have(peer, wanted->chunks->held());
    }

    void asked(const instance_id& from,
               const result<message::chunk_request>& request)
    {
        if (!request)
            return;
        const auto& ask = request.value();
        const auto found = held.find(ask.manifest);
        if (found == held.end())
        {
            const bool soon = wanted && wanted->version == ask.manifest;
            return refuse(from, ask,
                          soon ? message::chunk_status::absent
                               : message::chunk_status::foreign);
        }
        asked_at = now();
        if (wanted && wanted->chunks && wanted->version == ask.manifest)
            listen(from);
        const bool here = found->second->contains(ask.chunk);
        if (!here && ask.wait && wanted && wanted->version == ask.manifest)
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

    void replied(const instance_id& from,
                 const result<message::chunk_reply>& reply, std::string bytes)
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
        pass_downlink(got.chunk, std::move(bytes), from);
    }

    void count_peer_bytes(const instance_id& from, std::size_t bytes)
    {
        counts.peer_bytes += bytes;
        const auto* peer = host.members().find(from);
        if (peer == nullptr)
            return;
        counts.cross_hall_bytes += peer->hall != settings().hall ? bytes : 0;
        counts.cross_region_bytes +=
            peer->region != settings().region ? bytes : 0;
    }

    /*! @brief Lets a chunk arrive when the paced downlink has carried it. */
    void pass_downlink(chunk_index chunk, std::string bytes,
                       const instance_id& from)
    {
        const auto at = down.reserve(static_cast<double>(bytes.size()), now());
        arrivals.push_back({at, chunk, wanted->serial, std::move(bytes), from});
        take_arrivals();
    }

    void take_arrivals()
    {
        while (!arrivals.empty() &&
               arrivals.front().at <= now() + internal::send_ahead)
        {
            auto one = std::move(arrivals.front());
            arrivals.pop_front();
            if (wanted && wanted->serial == one.serial)
                arrive(one.chunk, std::move(one.bytes), one.from);
        }
        if (arrivals.empty())
            return;
        arrival_timer = host.loop().after(arrivals.front().at - now(),
                                          [this] { take_arrivals(); });
    }

    void arrive(chunk_index chunk, std::string bytes, const instance_id& from)
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
        fresh.push_back(chunk);
        fetching.to_hand_over.push_back(chunk);
        uploads.release(fetching.version, chunk);
        hand_over();
        ask_chunks();
        if (fetching.chunks->complete())
            finished();
    }

    void finished()
    {
        wanted->reason.clear();
        log::state(
            "transfer_complete",
            {{"version", wanted->version.hex()},
             {"seconds", std::to_string(to_seconds(now() - wanted->began))}});
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
                  found == held.end() ? std::string_view{}
                                      : found->second->of().text());
    }

    void replied_manifest(const result<message::manifest_reply>& reply,
                          const std::string& text)
    {
        if (reply && wanted && reply.value().manifest == wanted->version &&
            !text.empty())
            take_manifest(text);
    }

    // The engine.

    void hand_over()
    {
        auto& fetching = *wanted;
        if (!fetching.manifest_handed)
            return hand_over_manifest();
        while (fetching.handing_over < internal::hand_over_limit &&
               !fetching.to_hand_over.empty())
        {
            const auto chunk = fetching.to_hand_over.front();
            fetching.to_hand_over.pop_front();
            ++fetching.handing_over;
            engine.stage_chunk(
                fetching.version, chunk, *fetching.chunks->find(chunk),
                [this, chunk, serial = fetching.serial](bool done)
                { handed_over(chunk, serial, done); });
        }
    }

    void hand_over_manifest()
    {
        auto& fetching = *wanted;
        if (fetching.handing_over > 0)
            return;
        ++fetching.handing_over;
        engine.stage_manifest(fetching.version, fetching.chunks->of().text(),
                              [this, serial = fetching.serial](bool done)
                              {
                                  if (!wanted || wanted->serial != serial)
                                      return;
                                  --wanted->handing_over;
                                  wanted->manifest_handed = done;
                                  if (done)
                                      hand_over();
                              });
    }

    void handed_over(chunk_index chunk, std::uint64_t serial, bool done)
    {
        if (!wanted || wanted->serial != serial)
            return;
        --wanted->handing_over;
        if (done)
            ++wanted->handed_over;
        else
            wanted->to_hand_over.push_back(chunk);
        if (!done)
            return; // The next tick tries again.
        if (wanted->handed_over == wanted->chunks->of().size() && !wanted->told)
        {
            wanted->told = true;
            return staged(wanted->version);
        }
        hand_over();
    }

    void hand_over_again()
    {
        if (!wanted || !wanted->chunks)
            return;
        wanted->serial = ++serials;
        for (const auto& [chunk, call] : wanted->origin_calls)
            host.http().cancel(call);
        wanted->origin_calls.clear();
        wanted->handing_over = 0;
        wanted->handed_over = 0;
        wanted->manifest_handed = false;
        wanted->told = false;
        const auto all = wanted->chunks->held();
        wanted->to_hand_over = {all.begin(), all.end()};
    }

    // Time.

    void tick()
    {
        if (!wanted)
            return;
        uploads.limit_to(governor.portion());
        if (!wanted->chunks)
            return ask_manifest();
        hand_over();
        ask_chunks();
        tell();
    }

    /*! @brief Tells listeners of the own hall what is new, in small batches,
     * and those of other halls more slowly: they only need signs of life. */
    void tell()
    {
        if (now() - told_far >= internal::have_interval)
            return tell_all();
        if (fresh.empty() || now() - told_near < internal::have_batch)
            return;
        told_near = now();
        for (const auto& [peer, near] : listeners)
        {
            if (near)
                send_have(peer, fresh);
        }
        unheard.insert(unheard.end(), fresh.begin(), fresh.end());
        fresh.clear();
    }

    void tell_all()
    {
        told_far = told_near = now();
        if (wanted->chunks->complete() &&
            now() - asked_at > internal::quiet_after)
            listeners.clear();
        unheard.insert(unheard.end(), fresh.begin(), fresh.end());
        for (const auto& [peer, near] : listeners)
            send_have(peer, near ? fresh : unheard);
        fresh.clear();
        unheard.clear();
        if (wanted->chunks->complete())
            return;
        for (const auto& id : neighbours)
        {
            if (!listeners.contains(id))
                send_have(id, wanted->chunks->held());
        }
    }

    void peer_lost(const instance_id& peer)
    {
        uploads.drop(peer);
        listeners.erase(peer);
        with_planner([&](auto& planner) { planner.gone(peer); });
    }

    struct arrival
    {
        time_point at;
        chunk_index chunk;
        std::uint64_t serial;
        std::string bytes;
        instance_id from;
    };

    node& host;
    upstream_client& engine;
    staged_callback staged;
    chunk_uploader uploads;
    link_pacer down;
    transfer_governor governor;
    transfer_counters counts;
    std::optional<fetch> wanted;
    digest served;
    std::map<digest, std::shared_ptr<staging>> held;
    std::vector<participant> everybody;
    std::set<instance_id> neighbours;
    std::map<instance_id, bool> listeners; /*!< Whether in the own hall. */
    std::vector<chunk_index> fresh;        /*!< Not yet told to anybody. */
    std::vector<chunk_index> unheard;      /*!< Not yet told to other halls. */
    std::deque<arrival> arrivals;
    std::uint64_t serials{0};
    time_point told_near{};
    time_point told_far{};
    time_point asked_at{};
    timer arrival_timer;
};

transfer_service::transfer_service(node& owner, upstream_client& engine,
                                   staged_callback staged, chunk_filter filter)
    : self(std::make_unique<implementation>(owner, engine, std::move(staged),
                                            std::move(filter)))
{
}

transfer_service::~transfer_service() = default;

void transfer_service::want(const digest& version, weighting weigh)
{
    self->want(version, weigh);
}

void transfer_service::want_nothing()
{
    self->stop();
}

void transfer_service::serving(const digest& version)
{
    self->served = version;
    self->release();
}

void transfer_service::hand_over_again()
{
    self->hand_over_again();
}

void transfer_service::participants(std::vector<participant> all)
{
    if (all == self->everybody)
        return;
    self->everybody = std::move(all);
    self->assign();
}

bool transfer_service::received(const instance_id& from, frame& one)
{
    return self->received(from, one);
}

void transfer_service::peer_lost(const instance_id& peer)
{
    self->peer_lost(peer);
}

void transfer_service::tick()
{
    self->tick();
}

void transfer_service::first_token(std::chrono::microseconds took)
{
    const bool running =
        self->wanted && self->wanted->chunks &&
        (!self->wanted->chunks->complete() || !self->uploads.empty());
    self->governor.first_token(took, running);
}

bool transfer_service::idle() const
{
    return self->uploads.empty();
}

transfer_progress transfer_service::progress() const
{
    if (!self->wanted)
        return {};
    transfer_progress now;
    now.reason = self->wanted->reason;
    if (self->wanted->chunks)
    {
        now.done = self->wanted->chunks->bytes();
        now.total = self->wanted->chunks->of().total_bytes();
    }
    return now;
}

const transfer_counters& transfer_service::counters() const
{
    return self->counts;
}

std::string transfer_service::dump() const
{
    const auto& counts = self->counts;
    nlohmann::json held = nlohmann::json::array();
    for (const auto& [version, chunks] : self->held)
        held.push_back({{"version", version.hex()},
                        {"bytes", chunks->bytes()},
                        {"complete", chunks->complete()}});
    nlohmann::json wanted;
    if (self->wanted)
    {
        wanted = {{"version", self->wanted->version.hex()},
                  {"reason", self->wanted->reason},
                  {"handed_over", self->wanted->handed_over}};
        self->with_planner(
            [&](const auto& planner)
            {
                wanted["level"] = planner.level();
                wanted["pending"] = planner.pending();
            });
    }
    return nlohmann::json{{"held", std::move(held)},
                          {"wanted", std::move(wanted)},
                          {"listeners", self->listeners.size()},
                          {"neighbours", self->neighbours.size()},
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
