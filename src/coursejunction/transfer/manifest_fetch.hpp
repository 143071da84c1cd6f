/*! @file
 * @brief Brings the manifest of one version to one instance.
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

/*! @brief Asks sides, the origin in turns, and any side, until a manifest
 * comes.
 * @tparam Origin A `Weight_origin`. */
template <typename Origin>
class manifest_fetch
    : public std::enable_shared_from_this<manifest_fetch<Origin>>
{
public:
    /*! @param told Given the manifest, each time one was asked for. */
    manifest_fetch(event_loop& owner, stream_client& carrier, Origin& from,
                   model_version wanted, instance_id self,
                   transfer_context around, chunk_transfer_options set,
                   std::function<void(manifest)> told)
        : loop(owner), client(carrier), origin(from), what(std::move(wanted)),
          own(std::move(self)), view(std::move(around)), options(set),
          known(std::move(told)), random(seed()),
          turn(set.origin_call_interval, set.manifest_retry_delay, seed()),
          rest(set.manifest_retry_delay, set.manifest_retry_delay, seed())
    {
    }

    /*! @brief Begins; the object is held by a shared pointer. */
    void start() { ask(); }

    /*! @brief The manifest that came was wrong: the origin is asked. */
    void distrust(const std::string& why)
    {
        distrusted = true;
        turn.reset();
        ask_later(why);
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

    /*! @brief Asks the sides before this one in its hall's tree: several at
     * first, later only the nearest. When they do not give it, the origin is
     * asked by the first of each hall, and by others in turns: what one of
     * them fetched comes to the rest from side to side. */
    void ask()
    {
        const auto all = view.participants();
        const auto before = manifest_sources(what.rank_key(), all, own);
        const auto most = first_round ? options.max_tree_calls : 1;
        if (!distrusted && calls < most && !before.empty())
        {
            const auto step = calls / options.calls_per_source;
            const auto& peer = before[std::min(step, before.size() - 1)];
            ++calls;
            return ask_side(peer,
                            [this](const std::string&) {
                                retry = loop.after(options.tree_retry_delay,
                                                   [this] { ask(); });
                            });
        }
        const auto root = first_of_hall(all, own, before);
        if (turn.due(root, all.size(), event_loop::now()))
            return ask_origin(all.size());
        if (distrusted)
            return ask_later("not this side's turn to ask the origin");
        ask_any("nobody asked has it");
    }

    void ask_origin(std::size_t sides)
    {
        const auto address = view.origin_address();
        if (address.empty())
            return ask_later("no origin is configured");
        origin.chunks(address, what,
                      guarded(
                          [this, sides](result<manifest> answer)
                          {
                              if (answer)
                                  return take(std::move(answer.value()));
                              turn.record_failure(sides, event_loop::now());
                              ask_any(answer.error().message);
                          }));
    }

    /*! @brief Any side may know the manifest. */
    void ask_any(const std::string& why)
    {
        const auto all = view.participants();
        if (all.empty())
            return ask_later(why);
        const auto& peer = all[random() % all.size()].id;
        if (peer == own)
            return ask_later(why);
        ask_side(peer, [this, why](const std::string&) { ask_later(why); });
    }

    void take(manifest list)
    {
        distrusted = false;
        known(std::move(list));
    }

    void ask_side(const instance_id& peer,
                  std::function<void(const std::string&)> failed)
    {
        stream_call call;
        call.address = view.peer_endpoint(peer);
        call.target = "/chunks?model=" + what.model +
                      "&version=" + std::to_string(what.version);
        call.timeout = options.peer_timeout;
        call.stall_time = options.manifest_stall_timeout;
        call.repeatable = true;
        client.gather(
            std::move(call),
            guarded(
                [this, failed = std::move(failed)](
                    const stream_client::answer& answer)
                {
                    auto read = answer.is(200)
                                    ? manifest::from_lines(answer.body)
                                    : result<manifest>(failure(
                                          error_kind::unavailable, answer.why));
                    if (read)
                        return take(std::move(read.value()));
                    failed(read.error().message);
                }));
    }

    void ask_later(const std::string& why)
    {
        log::state("manifest_missing",
                   {{"model", what.model},
                    {"version", std::to_string(what.version)},
                    {"why", why}});
        first_round = false;
        calls = 0;
        retry = loop.after(rest.next(), [this] { ask(); });
    }

    event_loop& loop;
    stream_client& client;
    Origin& origin;
    model_version what;
    instance_id own;
    transfer_context view;
    chunk_transfer_options options;
    std::function<void(manifest)> known;
    std::minstd_rand random;
    origin_schedule turn;
    backoff rest;
    std::size_t calls{0}; /*!< Of sides before this one, in this round. */
    bool first_round{true};
    bool distrusted{false}; /*!< What came last was wrong. */
    timer retry;
};

} // namespace coursejunction

#endif
