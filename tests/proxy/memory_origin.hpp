/*! @file
 * @brief An origin of weights in memory for entries under test.
 */
#ifndef COURSEJUNCTION_TESTS_PROXY_MEMORY_ORIGIN_HPP
#define COURSEJUNCTION_TESTS_PROXY_MEMORY_ORIGIN_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "coursejunction/fleet/version_source.hpp"
#include "coursejunction/net/stream_client.hpp"

namespace proxy_test
{

namespace cj = coursejunction;

inline constexpr std::size_t origin_chunks = 4;
inline constexpr std::size_t origin_chunk_bytes = 1024;

/*! @brief What the origin knows to be named while this lives; without one it
 * does not answer. */
class named_versions
{
public:
    named_versions() { set(this); }
    ~named_versions() { set(nullptr); }
    named_versions(const named_versions&) = delete;
    named_versions& operator=(const named_versions&) = delete;

    void name(const std::string& model, std::uint64_t version)
    {
        const std::lock_guard hold(guard());
        newest[model] = version;
    }

    /*! @brief The next answer tells another version. */
    void spoil_once(std::uint64_t version)
    {
        const std::lock_guard hold(guard());
        spoilt = version;
    }

    [[nodiscard]] static cj::result<cj::offered_version>
    ask(const std::string& model)
    {
        const std::lock_guard hold(guard());
        if (current() == nullptr || !current()->newest.contains(model))
            return cj::failure(cj::error_kind::unavailable, "no origin");
        const auto version = std::exchange(current()->spoilt, std::nullopt);
        return cj::offered_version{version.value_or(current()->newest[model]),
                                   origin_chunks, origin_chunk_bytes,
                                   origin_chunks};
    }

private:
    static std::mutex& guard()
    {
        static std::mutex one;
        return one;
    }

    static named_versions*& current()
    {
        static named_versions* one = nullptr;
        return one;
    }

    static void set(named_versions* next)
    {
        const std::lock_guard hold(guard());
        current() = next;
    }

    std::map<std::string, std::uint64_t> newest;
    std::optional<std::uint64_t> spoilt;
};

/*! @brief One process's access to it. */
class memory_origin
{
public:
    explicit memory_origin(cj::stream_client&) {}

    void
    newest(const std::string&, const std::string& model,
           const std::function<void(cj::result<cj::offered_version>)>& done)
    {
        done(named_versions::ask(model));
    }
};

static_assert(cj::Version_source<memory_origin>);

} // namespace proxy_test

#endif
