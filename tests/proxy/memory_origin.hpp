/*! @file
 * @brief An in-memory origin of model weights for tests of entries. */
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

/*! @brief The newest versions that the origin reports while this object lives.
 * Without such an object the origin does not respond. */
class origin_versions
{
public:
    origin_versions() { set(this); }
    ~origin_versions() { set(nullptr); }
    origin_versions(const origin_versions&) = delete;
    origin_versions& operator=(const origin_versions&) = delete;

    void publish(const std::string& model, std::uint64_t version)
    {
        const std::lock_guard lock(mutex());
        newest[model] = version;
    }

    /*! @brief Makes the next response report another version. */
    void corrupt_next_response(std::uint64_t version)
    {
        const std::lock_guard lock(mutex());
        corrupt_version = version;
    }

    [[nodiscard]] static cj::result<cj::offered_version>
    ask(const std::string& model)
    {
        const std::lock_guard lock(mutex());
        if (current() == nullptr || !current()->newest.contains(model))
            return cj::failure(cj::error_kind::unavailable, "no origin");
        const auto version =
            std::exchange(current()->corrupt_version, std::nullopt);
        return cj::offered_version{version.value_or(current()->newest[model]),
                                   origin_chunks, origin_chunk_bytes,
                                   origin_chunks};
    }

private:
    static std::mutex& mutex()
    {
        static std::mutex instance;
        return instance;
    }

    static origin_versions*& current()
    {
        static origin_versions* instance = nullptr;
        return instance;
    }

    static void set(origin_versions* next)
    {
        const std::lock_guard lock(mutex());
        current() = next;
    }

    std::map<std::string, std::uint64_t> newest;
    std::optional<std::uint64_t> corrupt_version;
};

/*! @brief Access of one process to the origin. */
class memory_origin
{
public:
    explicit memory_origin(cj::stream_client&) {}

    void
    newest(const std::string&, const std::string& model,
           const std::function<void(cj::result<cj::offered_version>)>& done)
    {
        done(origin_versions::ask(model));
    }
};

static_assert(cj::Version_source<memory_origin>);

} // namespace proxy_test

#endif
