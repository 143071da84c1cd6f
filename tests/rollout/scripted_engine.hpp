/*! @file
 * @brief An upstream's engine and an origin of weights in memory, for tests of
 * sidecars. */
#ifndef COURSEJUNCTION_TESTS_ROLLOUT_SCRIPTED_ENGINE_HPP
#define COURSEJUNCTION_TESTS_ROLLOUT_SCRIPTED_ENGINE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coursejunction/core/result.hpp"
#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/rollout/upstream_engine.hpp"
#include "coursejunction/transfer/manifest.hpp"

namespace rollout_test
{

namespace cj = coursejunction;
using namespace std::chrono_literals;

inline constexpr std::size_t chunk_count = 8;

inline std::string chunk_of(std::uint64_t version, cj::chunk_index chunk)
{
    return "version " + std::to_string(version) + " chunk " +
           std::to_string(chunk);
}

/*! @brief An origin that has every version. */
class scripted_origin
{
public:
    explicit scripted_origin(cj::event_loop& owner) : loop(owner) {}

    /*! @brief Chunks that it still sends before it is unavailable. */
    std::size_t chunks_left{1000};

    void chunks(const std::string&, const cj::model_version& wanted,
                const std::function<void(cj::result<cj::manifest>)>& done)
    {
        respond(
            [wanted, done]
            {
                std::vector<cj::digest> hashes;
                for (cj::chunk_index chunk = 0; chunk < chunk_count; ++chunk)
                    hashes.push_back(
                        cj::digest::of(chunk_of(wanted.version, chunk)));
                done(cj::manifest::assemble(chunk_of(1, 0).size(),
                                            std::move(hashes)));
            });
    }

    void chunk(const std::string&, const cj::model_version& wanted,
               cj::chunk_index chunk,
               const std::function<void(cj::result<std::string>)>& done)
    {
        respond(
            [this, wanted, chunk, done]
            {
                if (chunks_left == 0)
                    return done(cj::failure(cj::error_kind::unavailable, ""));
                --chunks_left;
                done(chunk_of(wanted.version, chunk));
            });
    }

private:
    void respond(std::function<void()> work)
    {
        timers.push_back(loop.after(5ms, std::move(work)));
    }

    cj::event_loop& loop;
    std::vector<cj::timer> timers;
};

static_assert(cj::Weight_origin<scripted_origin>);

/*! @brief An engine that loads whatever is staged when it handles a load
 * command. Calls end without a response after 1 s. */
class scripted_engine
{
public:
    explicit scripted_engine(cj::event_loop& owner) : loop(owner) {}

    // --- Script ----------------------------------------------------------

    /*! @brief Called when a load command arrives, before it is handled. */
    std::function<void()> load_arrives;

    /*! @brief Called when a load command was taken. */
    std::function<void()> load_taken;

    /*! @brief Ends the connections of a sidecar: what it sent is handled, but
     * its callbacks are not called any more. */
    void disconnect()
    {
        for (const auto& open : open_calls)
            *open = false;
        open_calls.clear();
    }

    /*! @brief Handles no call until `resume`; calls that arrive wait. */
    void suspend() { suspended = true; }

    /*! @brief Handles what waits: writes to the staging area first, which came
     * over other connections than load commands. */
    void resume()
    {
        suspended = false;
        auto calls = std::exchange(waiting, {});
        std::stable_partition(calls.begin(), calls.end(),
                              [](const call& one) { return one.writes; });
        for (const auto& one : calls)
            one.handle();
    }

    void corrupt_chunk(cj::chunk_index chunk) { chunks[chunk] += "?"; }

    /*! @brief Loses the weights, what is staged and the count of commands. */
    void lose_power()
    {
        chunks.clear();
        held = 0;
        sequence = 0;
    }

    [[nodiscard]] std::uint64_t version() const { return held; }

    /*! @brief Returns whether a layer of the weights was loaded from a wrong
     * chunk. */
    [[nodiscard]] bool is_wrong() const { return wrong; }

    /*! @brief Returns how many loads took a wrong chunk. */
    [[nodiscard]] std::size_t wrong_loads() const { return wrong_count; }

    [[nodiscard]] std::size_t unloads() const { return unload_count; }

    /*! @brief Returns how often wrong weights were given up after their chunks
     * had been replaced. */
    [[nodiscard]] std::size_t late_unloads() const { return late_unload_count; }

    // --- Calls of the sidecar --------------------------------------------

    void report(std::function<void(cj::result<cj::engine_report>)> done)
    {
        add_call<cj::result<cj::engine_report>>(
            false,
            [this]() -> cj::result<cj::engine_report>
            {
                cj::engine_report made;
                made.model = "m";
                made.version = held;
                made.sequence = sequence;
                made.loading = loading;
                made.running = held == 0 ? 0 : 1;
                return made;
            },
            no_response(), std::move(done));
    }

    void
    staged(const std::string&,
           std::function<void(cj::result<std::vector<cj::chunk_index>>)> done)
    {
        add_call<cj::result<std::vector<cj::chunk_index>>>(
            false,
            [this]() -> cj::result<std::vector<cj::chunk_index>>
            {
                std::vector<cj::chunk_index> list;
                for (const auto& [chunk, bytes] : chunks)
                    list.push_back(chunk);
                return list;
            },
            no_response(), std::move(done));
    }

    void staged_chunk(const std::string&, cj::chunk_index chunk,
                      std::function<void(cj::result<std::string>)> done)
    {
        add_call<cj::result<std::string>>(
            false,
            [this, chunk]() -> cj::result<std::string>
            {
                const auto found = chunks.find(chunk);
                if (found == chunks.end())
                    return cj::failure(cj::error_kind::not_found, "missing");
                return found->second;
            },
            no_response(), std::move(done));
    }

    void stage(const std::string&, cj::chunk_index chunk, std::string bytes,
               std::function<void(bool)> done)
    {
        add_call<bool>(
            true,
            [this, chunk, bytes = std::move(bytes)]
            {
                chunks[chunk] = bytes;
                return true;
            },
            false, std::move(done));
    }

    void load(const cj::model_version& target, std::uint64_t expected,
              cj::load_method, std::function<void(cj::load_outcome)> done)
    {
        if (load_arrives)
            std::exchange(load_arrives, nullptr)();
        add_call<cj::load_outcome>(
            false,
            [this, version = target.version, expected]
            {
                if (version == held)
                    return cj::load_outcome::already_applied;
                return take(version, expected);
            },
            cj::load_outcome::unknown, std::move(done));
    }

    void unload(const cj::model_version&, std::uint64_t expected,
                std::function<void(cj::load_outcome)> done)
    {
        add_call<cj::load_outcome>(
            false,
            [this, expected]
            {
                ++unload_count;
                late_unload_count += wrong && has_right_chunks(held) ? 1 : 0;
                return take(0, expected);
            },
            cj::load_outcome::unknown, std::move(done));
    }

private:
    struct call
    {
        bool writes{false}; /*!< To the staging area. */
        std::function<void()> handle;
    };

    static cj::error no_response()
    {
        return {cj::error_kind::unavailable, "no response"};
    }

    template <typename Response>
    void add_call(bool writes, std::function<Response()> handle,
                  Response timed_out, std::function<void(Response)> done)
    {
        const auto open = std::make_shared<bool>(true);
        open_calls.push_back(open);
        const auto end = [open, done = std::move(done)](Response response)
        {
            if (std::exchange(*open, false))
                done(std::move(response));
        };
        timers.push_back(loop.after(1s, [end, timed_out] { end(timed_out); }));
        call made{writes, [handle = std::move(handle), end] { end(handle()); }};
        timers.push_back(loop.after(1ms,
                                    [this, made = std::move(made)]
                                    {
                                        if (suspended)
                                            return waiting.push_back(made);
                                        made.handle();
                                    }));
    }

    [[nodiscard]] bool has_right_chunks(std::uint64_t version) const
    {
        for (cj::chunk_index chunk = 0; chunk < chunk_count; ++chunk)
        {
            const auto found = chunks.find(chunk);
            if (found == chunks.end() ||
                found->second != chunk_of(version, chunk))
                return false;
        }
        return true;
    }

    cj::load_outcome take(std::uint64_t version, std::uint64_t expected)
    {
        if (expected != sequence || loading)
            return cj::load_outcome::conflict;
        ++sequence;
        wrong = version > 0 && !has_right_chunks(version);
        wrong_count += wrong ? 1 : 0;
        held = 0;
        loading = true;
        if (load_taken)
            std::exchange(load_taken, nullptr)();
        loaded = loop.after(50ms,
                            [this, version]
                            {
                                loading = false;
                                held = version;
                            });
        return cj::load_outcome::accepted;
    }

    cj::event_loop& loop;
    std::vector<cj::timer> timers;
    cj::timer loaded;
    std::vector<call> waiting;
    std::vector<std::shared_ptr<bool>> open_calls;
    std::map<cj::chunk_index, std::string> chunks;
    std::uint64_t held{1};
    std::uint64_t sequence{0};
    std::size_t wrong_count{0};
    std::size_t unload_count{0};
    std::size_t late_unload_count{0};
    bool loading{false};
    bool suspended{false};
    bool wrong{false};
};

static_assert(cj::Staging_engine<scripted_engine>);

} // namespace rollout_test

#endif
