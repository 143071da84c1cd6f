/*! @file
 * @brief What every process of an installation does whatever its role: it
 * mirrors the platform's store, directly or through its peers, and tells its
 * peers that it lives and how far its mirror is.
 */
#ifndef COURSEJUNCTION_FLEET_FLEET_NODE_HPP
#define COURSEJUNCTION_FLEET_FLEET_NODE_HPP

#include <algorithm>
#include <charconv>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/log.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/fleet/beat_plan.hpp"
#include "coursejunction/fleet/node_address.hpp"
#include "coursejunction/fleet/peer_directory.hpp"
#include "coursejunction/fleet/store_mirror.hpp"
#include "coursejunction/fleet/store_outage.hpp"
#include "coursejunction/net/datagram_socket.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/metrics.hpp"
#include "coursejunction/net/stream_client.hpp"
#include "coursejunction/net/stream_server.hpp"
#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/fleet_message.hpp"

namespace coursejunction
{

/*! @brief Keys that a store showed, as of a revision. */
struct store_page
{
    store_mirror::items items;
    std::uint64_t revision{0};
};

/*! @brief Reads the platform's store; answers come on the loop's thread. An
 * error `not_found` of a watch says that its history is gone. */
template <typename Store>
concept Readable_store = requires(Store& store, std::uint64_t after,
                                  milliseconds wait,
                                  std::function<void(result<store_page>)> done)
{
    store.list(done);
    store.watch(after, wait, done);
};

/*! @brief How a node finds its peers. */
struct fleet_options
{
    std::string address;
    std::uint16_t port{0}; /*!< Alike on every instance of an installation. */
    hall_id hall;
    bool entry{false};
    std::vector<std::string> seeds; /*!< IP addresses of entries. */
};

/*! @brief What a role adds to a node. */
struct fleet_hooks
{
    /*! @brief Keys changed.
     * @param store_returned Whether the store was away until just now, so that
     * records may have lapsed only. */
    std::function<void(const std::vector<std::string>& keys,
                       bool store_returned)>
        changed;
    std::function<void(const std::string& from,
                       const message::fleet_heartbeat&)>
        heard;
    /*! @brief Adds what the role knows. */
    std::function<void(message::fleet_heartbeat&, chunk_detail)> describe;
    std::function<void(stream_request, stream_reply)> request;
    /*! @brief Tells whether weights are on their way to some side. */
    std::function<bool()> spreading;
};

/*! @brief One process among its peers.
 * @tparam Store A `Readable_store`. */
template <typename Store>
class fleet_node
{
public:
    /*! @brief Heartbeats between two changes; a leaving upstream has 2 s, so
     * that several may be lost. */
    static constexpr milliseconds beat_interval{200};

    /*! @brief Entries that watch the store; all others hear from them. One may
     * be cut from the store and one more stopped at the same time. */
    static constexpr std::size_t most_watchers = 3;

    /*! @brief A side that is behind for this long is told so by an entry of
     * any hall: its own hall may have no entry left. */
    static constexpr milliseconds behind_grace{300};

    /*! @brief How long one watch waits. A watch that hangs on a dead
     * connection is noticed this late, and a change has 2 s to be in force
     * once the store has been calm for 3 s. */
    static constexpr milliseconds watch_wait{1500};

    /*! @brief Pause between two watches, so that changes that come together
     * cost one call; a leaving upstream has 2 s. */
    static constexpr milliseconds watch_pause{100};

    /*! @brief Pause after a failed call of the store. */
    static constexpr milliseconds store_pause{150};

    /*! @brief How long peers of the own hall have to tell what one of another
     * hall already told. */
    static constexpr milliseconds near_first{80};

    /*! @brief Longest pull of the mirror from a peer: a configuration of 500 KB
     * that five entries of a hall pull at once over a link of 25 Mbit/s between
     * regions takes 0.8 s. */
    static constexpr milliseconds pull_time{2000};

    /*! @brief A pull that lasts this long may hang on a peer that is cut off:
     * a second one may begin beside it. */
    static constexpr milliseconds pull_patience{600};
    static constexpr std::size_t most_pulls = 2;

    /*! @brief Opens the ports.
     * @return The node, or `unavailable`. */
    [[nodiscard]] static result<std::unique_ptr<fleet_node>>
    create(event_loop& loop, Store& store, metrics& counters,
           fleet_options options)
    {
        std::unique_ptr<fleet_node> made(
            new fleet_node(loop, store, counters, std::move(options)));
        auto opened = made->open();
        if (!opened)
            return failure(opened.error().kind, opened.error().message);
        return made;
    }

    /*! @brief Starts to act; called once when the role is ready. */
    void start(fleet_hooks given)
    {
        hooks = std::move(given);
        const auto now = event_loop::now();
        for (const auto& seed : options.seeds)
        {
            if (seed != options.address)
                directory.seed(seed, now);
        }
        announce();
        beat_timer = loop.every(beat_interval,
                                [this]
                                {
                                    beat_on();
                                    watch_if_needed();
                                });
        if (options.entry)
            list();
    }

    /*! @brief Tells at once that the state of this process changed. */
    void announce() { tell(moment(beat_reason::state)); }

    /*! @brief Tells the entries of the own hall that a load changed. Others
     * hear of it with the next heartbeat: they send here only what their own
     * hall cannot take, and bytes between regions cost most. */
    void announce_load() { tell(moment(beat_reason::load)); }

    /*! @brief Tells neighbours of the own hall which chunks are here; called
     * while chunks spread. */
    void announce_chunks() { tell(moment(beat_reason::chunks)); }

    /*! @brief Marks the node as leaving in its heartbeats. */
    void leave()
    {
        leaving = true;
        announce();
    }

    /*! @brief Notes a side that the role knows of, and its hall. */
    void name_side(const std::string& address, const hall_id& hall)
    {
        if (address != options.address)
            directory.name_side(address, hall, event_loop::now());
    }

    [[nodiscard]] const store_mirror& mirror() const { return copy; }
    [[nodiscard]] const peer_directory& peers() const { return directory; }
    [[nodiscard]] stream_client& client() { return calls; }
    [[nodiscard]] const fleet_options& settings() const { return options; }

    /*! @brief Returns the address of a peer's port for the system's own. */
    [[nodiscard]] std::string peer_port(const std::string& address) const
    {
        return address + port_suffix;
    }

private:
    fleet_node(event_loop& owner, Store& service, metrics& counted,
               fleet_options set)
        : loop(owner), store(service), counters(counted),
          options(std::move(set)), calls(owner),
          port_suffix(":" + std::to_string(options.port)),
          incarnation(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()))
    {
    }

    result<bool> open()
    {
        auto made = datagram_socket::create(
            loop, options.address, options.port,
            [this](const std::string& from, std::string_view bytes)
            { datagram(host_of(from), bytes); });
        if (!made)
            return failure(made.error().kind, made.error().message);
        socket = std::move(made.value());
        auto served = stream_server::create(
            loop, options.address, options.port, {},
            [this](stream_request request, stream_reply reply)
            { request_of_peer(std::move(request), std::move(reply)); });
        if (!served)
            return failure(served.error().kind, served.error().message);
        server = std::move(served.value());
        return true;
    }

    [[nodiscard]] bool own_hall(const peer_state& one) const
    {
        return one.last.hall == options.hall.value();
    }

    [[nodiscard]] beat_moment moment(beat_reason why) const
    {
        beat_moment made;
        made.reason = why;
        made.number = beat_number;
        made.from_entry = options.entry;
        return made;
    }

    void beat_on()
    {
        ++beat_number;
        auto regular = moment(beat_reason::regular);
        regular.spreading = hooks.spreading && hooks.spreading();
        tell(regular);
    }

    /*! @brief Returns the sides of the own hall, this one included, in the
     * order of their addresses. */
    [[nodiscard]] std::vector<std::string> hall_ring() const
    {
        std::vector<std::string> ring;
        for (const auto& [address, one] : directory.all())
        {
            if (!one.entry && own_hall(one))
                ring.push_back(address);
        }
        if (!options.entry)
            ring.insert(
                std::upper_bound(ring.begin(), ring.end(), options.address),
                options.address);
        return ring;
    }

    static std::size_t place_of(const std::vector<std::string>& ring,
                                const std::string& address)
    {
        return static_cast<std::size_t>(
            std::lower_bound(ring.begin(), ring.end(), address) - ring.begin());
    }

    void tell(beat_moment sent)
    {
        const auto now = event_loop::now();
        directory.expire(now);
        const auto ring = hall_ring();
        const auto own = place_of(ring, options.address);
        sent.hall_sides = ring.size();
        const auto datagram = encode(beat(now, sent));
        for (const auto& [address, one] : directory.all())
        {
            beat_receiver to{one.entry, own_hall(one), false};
            to.neighbour =
                !options.entry && !one.entry && to.near &&
                ring_neighbour(own, place_of(ring, address), ring.size());
            const bool unheard = one.entry && one.heard == time_point{} &&
                                 sent.reason == beat_reason::regular;
            if (hears(sent, to) || unheard)
                socket->send(address + port_suffix, datagram);
        }
    }

    /*! @brief Tells one peer that it is behind. */
    void tell_behind(const std::string& address)
    {
        const auto now = event_loop::now();
        socket->send(address + port_suffix,
                     encode(beat(now, moment(beat_reason::mirror))));
    }

    message::fleet_heartbeat beat(time_point now, const beat_moment& sent)
    {
        const bool names = sent.reason == beat_reason::regular &&
                           sent.number % naming_beat == 0;
        message::fleet_heartbeat made;
        made.incarnation = incarnation;
        made.sequence = ++sequence;
        made.mirror_revision = copy.revision();
        made.hall = options.hall.value();
        made.entry = options.entry;
        made.leaving = leaving;
        made.watching = store_up && store_busy;
        made.store_returned = store_returned(now);
        for (const auto& [address, one] : directory.all())
        {
            const auto number = address_number(address);
            if (names && one.entry && number &&
                peer_directory::alive(one, now) &&
                made.entries.size() < most_named)
                made.entries.push_back(*number);
        }
        if (hooks.describe)
            hooks.describe(made, chunks_told(sent));
        return made;
    }

    void datagram(const std::string& from, std::string_view bytes)
    {
        const auto read = decode<message::fleet_heartbeat>(bytes);
        if (!read)
        {
            counters.count("fleet_datagrams_refused_total");
            return;
        }
        const auto now = event_loop::now();
        const bool known = directory.alive(from, now);
        if (!directory.heard(from, read.value(), now))
            return;
        if (!known)
            log::state("peer_heard",
                       {{"peer", from},
                        {"entry", read.value().entry ? "true" : "false"}});
        for (const auto number : read.value().entries)
        {
            const auto address = address_text(number);
            if (address != options.address &&
                directory.find(address) == nullptr)
                directory.name_entry(address, now);
        }
        if (options.entry && !read.value().entry &&
            read.value().mirror_revision < copy.revision() &&
            now - advanced_at >= behind_grace)
            tell_behind(from);
        if (read.value().mirror_revision > copy.revision())
            pull_soon(from, read.value().hall == options.hall.value());
        if (hooks.heard)
            hooks.heard(from, read.value());
    }

    /*! @brief A peer of another hall knows more: the own hall's peers, nearer
     * and cheaper to ask, have a moment to tell the same. */
    void pull_soon(const std::string& from, bool near)
    {
        if (near)
            return pull(from);
        if (!may_pull() || pull_pending)
            return;
        pull_pending = true;
        pull_timer =
            loop.after(near_first,
                       [this, from]
                       {
                           pull_pending = false;
                           const auto* peer = directory.find(from);
                           if (peer != nullptr &&
                               peer->last.mirror_revision > copy.revision())
                               pull(from);
                       });
    }

    [[nodiscard]] bool may_pull() const
    {
        return pulls == 0 || (pulls < most_pulls &&
                              event_loop::now() - pulled_at >= pull_patience);
    }

    /*! @brief Fetches from a peer what it knows and we do not. */
    void pull(const std::string& from)
    {
        if (!may_pull())
            return;
        ++pulls;
        pulled_at = event_loop::now();
        stream_call call;
        call.address = peer_port(from);
        call.target = "/mirror?after=" + std::to_string(copy.revision());
        call.timeout = pull_time;
        calls.gather(std::move(call),
                     [this, from](const stream_client::answer& answer)
                     {
                         --pulls;
                         pulled(from, answer);
                     });
    }

    void pulled(const std::string& from, const stream_client::answer& answer)
    {
        counters.count("fleet_mirror_pulls_total");
        auto page = answer.is(200) ? decode<message::mirror_page>(answer.body)
                                   : result<message::mirror_page>(failure(
                                         error_kind::unavailable, answer.why));
        if (!page)
        {
            log::state("mirror_pull_failed",
                       {{"peer", from}, {"why", page.error().message}});
            return;
        }
        const auto& got = page.value();
        took(copy.apply(got.items, got.revision, event_loop::now()), from);
    }

    void request_of_peer(stream_request request, stream_reply reply)
    {
        constexpr std::string_view mirror_target = "/mirror?after=";
        if (!request.target.starts_with(mirror_target))
        {
            if (hooks.request)
                return hooks.request(std::move(request), std::move(reply));
            return reply.send(404, {}, "no such resource\n");
        }
        const auto text =
            std::string_view(request.target).substr(mirror_target.size());
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        reply.send(200, {}, encode(copy.since(after, event_loop::now())));
    }

    /*! @brief Tells whether this entry is among those that watch the store. */
    [[nodiscard]] bool is_watcher() const
    {
        return options.entry && !leaving &&
               directory.watchers_before(options.address, event_loop::now()) <
                   most_watchers;
    }

    void watch_if_needed()
    {
        if (!store_busy && is_watcher())
            list();
    }

    void list()
    {
        store_busy = true;
        counters.count("store_calls_total", 1, {{"call", "list"}});
        store.list(
            [this](result<store_page> answer)
            {
                if (!answer)
                    return store_lost(answer.error().message, false);
                store_answered();
                const auto& page = answer.value();
                const auto changed =
                    copy.replace(page.items, page.revision, event_loop::now());
                took(changed, "store");
                watch();
            });
    }

    void watch()
    {
        counters.count("store_calls_total", 1, {{"call", "watch"}});
        store.watch(copy.revision(), watch_wait,
                    [this](result<store_page> answer)
                    {
                        if (!answer)
                            return store_lost(answer.error().message,
                                              answer.error().kind ==
                                                  error_kind::not_found);
                        store_answered();
                        const auto& page = answer.value();
                        const auto changed = copy.apply(
                            page.items, page.revision, event_loop::now());
                        took(changed, "store");
                        watch_on(!page.items.empty());
                    });
    }

    /*! @brief Watches on, or leaves it to others.
     * @param changed Whether more changes may follow at once. */
    void watch_on(bool changed)
    {
        if (!is_watcher())
        {
            store_busy = false;
            return;
        }
        if (!changed)
            return watch();
        store_timer = loop.after(watch_pause, [this] { watch(); });
    }

    /*! @brief A call failed: the whole is listed again, at once when only the
     * history is gone. */
    void store_lost(const std::string& why, bool history_gone)
    {
        if (!history_gone)
            outage.failed(event_loop::now());
        if (store_up || history_gone)
            log::warning(
                "store_lost",
                {{"why", why}, {"revision", std::to_string(copy.revision())}});
        store_up = false;
        if (history_gone)
            return list();
        store_timer = loop.after(store_pause, [this] { list(); });
    }

    /*! @brief Tells whether the store itself, not only the way to it from here,
     * was away until just now. */
    [[nodiscard]] bool store_returned(time_point now) const
    {
        return outage.returned(now) && !directory.steady_watcher(now);
    }

    void store_answered()
    {
        outage.answered(event_loop::now());
        if (store_up)
            return;
        store_up = true;
        log::state("store_reached",
                   {{"revision", std::to_string(copy.revision())}});
    }

    void took(const std::vector<std::string>& changed, const std::string& from)
    {
        if (changed.empty())
            return;
        for (const auto& key : changed)
        {
            const auto found = copy.all().find(key);
            log::state("mirror_changed",
                       {{"key", key},
                        {"from", from},
                        {"revision", std::to_string(found->second.revision)},
                        {"removed", found->second.removed ? "true" : "false"}});
        }
        const auto* peer = directory.find(from);
        const bool returned = peer != nullptr
                                  ? peer->last.store_returned
                                  : store_returned(event_loop::now());
        advanced_at = event_loop::now();
        if (hooks.changed)
            hooks.changed(changed, returned);
        auto sent = moment(beat_reason::mirror);
        sent.from_store = peer == nullptr;
        tell(sent);
    }

    /*! @brief Entries named in one heartbeat, so that it fits a datagram. */
    static constexpr std::size_t most_named = 64;

    event_loop& loop;
    Store& store;
    metrics& counters;
    fleet_options options;
    fleet_hooks hooks;
    stream_client calls;
    std::string port_suffix;
    std::uint64_t incarnation;
    std::uint64_t sequence{0};
    std::uint64_t beat_number{0};
    time_point advanced_at{}; /*!< When the mirror last changed. */
    store_mirror copy;
    peer_directory directory;
    std::unique_ptr<datagram_socket> socket;
    std::unique_ptr<stream_server> server;
    timer beat_timer;
    timer store_timer;
    timer pull_timer;
    store_outage outage;
    bool store_up{false};
    bool store_busy{false}; /*!< A call or a pause of the watch runs. */
    std::size_t pulls{0};
    time_point pulled_at{}; /*!< When the last pull began. */
    bool pull_pending{false};
    bool leaving{false};
};

} // namespace coursejunction

#endif
