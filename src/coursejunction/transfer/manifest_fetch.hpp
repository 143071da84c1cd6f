/*! @file
 * @brief Fetches the manifest of one version for one instance.
 */
#ifndef COURSEJUNCTION_TRANSFER_MANIFEST_FETCH_HPP
#define COURSEJUNCTION_TRANSFER_MANIFEST_FETCH_HPP

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "coursejunction/core/backoff.hpp"
#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/guarded.hpp"
#include "coursejunction/core/log.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"
#include "coursejunction/transfer/chunk_transfer_options.hpp"
#include "coursejunction/transfer/manifest.hpp"
#include "coursejunction/transfer/manifest_route.hpp"
#include "coursejunction/transfer/origin_schedule.hpp"
#include "coursejunction/transfer/transfer_context.hpp"

namespace coursejunction
{

/*! @brief Asks other sidecars and, when scheduled, the origin until one of them
 * returns the manifest.
 * @tparam Origin A `Weight_origin`. */
template <typename Origin>
class manifest_fetch
    : public std::enable_shared_from_this<manifest_fetch<Origin>>
{
public:
    /*! @param on_manifest Called with the manifest, once after `start` and once
     * after each `reject`. */
    manifest_fetch(event_loop& events, stream_client& http_client,
                   Origin& weight_origin, model_version wanted,
                   instance_id self, transfer_context shared_context,
                   chunk_transfer_options chosen_options,
                   std::function<void(manifest)> on_manifest)
        : loop(events), client(http_client), origin(weight_origin),
          target(std::move(wanted)), own(std::move(self)),
          view(std::move(shared_context)), options(chosen_options),
          manifest_callback(std::move(on_manifest)), random(seed()),
          schedule(chosen_options.origin_call_interval,
                   chosen_options.manifest_retry_delay, seed()),
          retry_backoff(chosen_options.manifest_retry_delay,
                        chosen_options.manifest_retry_delay, seed())
    {
    }

    /*! @brief Sends the first request. The object must be owned by a shared
     * pointer. */
    void start() { ask_next(); }

    /*! @brief Discards the manifest that was returned last because it is wrong,
     * and asks the origin for another one. */
    void reject(const std::string& reason)
    {
        last_rejected = true;
        schedule.reset();
        ask_later(reason);
    }

private:
    template <typename Call>
    auto guarded(Call call)
    {
        return guarded_by(this->weak_from_this(), std::move(call));
    }

    [[nodiscard]] std::uint32_t seed() const
    {
        return static_cast<std::uint32_t>(stable_hash(own.value()));
    }

    /*! @brief Asks the ancestors of this sidecar in the tree of its hall:
     * several times in the first round, later only the nearest once. If none
     * has the manifest, the first sidecar of each hall asks the origin and the
     * others do so when scheduled; what one of them fetches spreads from
     * sidecar to sidecar. */
    void ask_next()
    {
        const auto all = view.participants();
        const auto sources = manifest_sources(target.rank_key(), all, own);
        const auto max_calls = first_round ? options.max_tree_calls : 1;
        if (!last_rejected && calls_this_round < max_calls && !sources.empty())
        {
            const auto ancestor = calls_this_round / options.calls_per_source;
            const auto& peer = sources[std::min(ancestor, sources.size() - 1)];
            ++calls_this_round;
            return ask_sidecar(peer,
                               [this](const std::string&) {
                                   retry = loop.after(options.tree_retry_delay,
                                                      [this] { ask_next(); });
                               });
        }
        const auto is_first = first_of_hall(all, own, sources);
        if (schedule.due(is_first, all.size(), event_loop::now()))
            return ask_origin(all.size());
        if (last_rejected)
            return ask_later(
                "waiting for this sidecar's turn to ask the origin");
        ask_any("none of the sidecars asked has the manifest");
    }

    void ask_origin(std::size_t sidecars)
    {
        const auto address = view.origin_address();
        if (address.empty())
            return ask_later("no origin is configured");
        origin.chunks(address, target,
                      guarded(
                          [this, sidecars](result<manifest> response)
                          {
                              if (response)
                                  return accept(std::move(response.value()));
                              schedule.record_failure(sidecars,
                                                      event_loop::now());
                              ask_any(response.error().message);
                          }));
    }

    /*! @brief Asks a random participant, which may have got the manifest
     * another way. */
    void ask_any(const std::string& reason)
    {
        const auto all = view.participants();
        if (all.empty())
            return ask_later(reason);
        const auto& peer = all[random() % all.size()].id;
        if (peer == own)
            return ask_later(reason);
        ask_sidecar(peer,
                    [this, reason](const std::string&) { ask_later(reason); });
    }

    void accept(manifest list)
    {
        last_rejected = false;
        manifest_callback(std::move(list));
    }

    void ask_sidecar(const instance_id& peer,
                     std::function<void(const std::string&)> on_failure)
    {
        stream_call call;
        call.address = view.peer_endpoint(peer);
        call.target = "/chunks?model=" + target.model +
                      "&version=" + std::to_string(target.version);
        call.timeout = options.peer_timeout;
        call.stall_time = options.manifest_stall_timeout;
        call.may_reuse_connection = true;
        client.gather(std::move(call),
                      guarded(
                          [this, on_failure = std::move(on_failure)](
                              const stream_client::answer& response)
                          {
                              auto parsed =
                                  response.is(200)
                                      ? manifest::from_lines(response.body)
                                      : result<manifest>(
                                            failure(error_kind::unavailable,
                                                    response.why));
                              if (parsed)
                                  return accept(std::move(parsed.value()));
                              on_failure(parsed.error().message);
                          }));
    }

    void ask_later(const std::string& reason)
    {
        log::state("manifest_missing",
                   {{"model", target.model},
                    {"version", std::to_string(target.version)},
                    {"why", reason}});
        first_round = false;
        calls_this_round = 0;
        retry = loop.after(retry_backoff.next(), [this] { ask_next(); });
    }

    event_loop& loop;
    stream_client& client;
    Origin& origin;
    model_version target;
    instance_id own;
    transfer_context view;
    chunk_transfer_options options;
    std::function<void(manifest)> manifest_callback;
    std::minstd_rand random;
    origin_schedule schedule;
    backoff retry_backoff;
    std::size_t calls_this_round{0}; /*!< Of ancestors in the tree. */
    bool first_round{true};
    bool last_rejected{
        false}; /*!< Since `reject`, until a manifest is accepted. */
    timer retry;
};

} // namespace coursejunction

#endif
