/*! @file
 * @brief Verified chunks of one version in memory.
 */
#ifndef COURSEJUNCTION_TRANSFER_CHUNK_STORE_HPP
#define COURSEJUNCTION_TRANSFER_CHUNK_STORE_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coursejunction/transfer/manifest.hpp"

namespace coursejunction
{

/*! @brief Holds only chunks whose hash is right, so nothing else can be
 * passed on or handed to an engine. */
class chunk_store
{
public:
    using value_type = std::shared_ptr<const std::string>;
    using size_type = std::size_t;

    /*! @brief What became of a chunk that came. */
    enum class add_result
    {
        added,
        already_held,
        corrupt
    };

    explicit chunk_store(manifest of)
        : plan(std::move(of)), chunks(plan.size()), elsewhere(plan.size())
    {
    }

    /*! @brief Verifies a chunk and keeps it when it is right. */
    add_result add(chunk_index at, std::string bytes)
    {
        if (at >= chunks.size())
            return add_result::corrupt;
        if (contains(at))
            return add_result::already_held;
        if (bytes.size() != plan.chunk_bytes(at) ||
            digest::of(bytes) != plan[at])
            return add_result::corrupt;
        keep(at, std::make_shared<const std::string>(std::move(bytes)));
        return add_result::added;
    }

    /*! @brief Takes over chunks that another version has in common.
     * @return The chunks taken over. */
    std::vector<chunk_index> copy_common_from(const chunk_store& other)
    {
        std::unordered_map<digest, value_type> known;
        for (chunk_index at = 0; at < other.chunks.size(); ++at)
        {
            if (other.chunks[at])
                known.emplace(other.plan[at], other.chunks[at]);
        }
        std::vector<chunk_index> taken;
        for (chunk_index at = 0; at < chunks.size(); ++at)
        {
            const auto found = known.find(plan[at]);
            if (chunks[at] || found == known.end())
                continue;
            keep(at, found->second);
            taken.push_back(at);
        }
        return taken;
    }

    /*! @brief Returns a chunk, or null when its bytes are not held here. */
    [[nodiscard]] value_type find(chunk_index at) const
    {
        return at < chunks.size() ? chunks[at] : nullptr;
    }

    [[nodiscard]] bool contains(chunk_index at) const
    {
        return at < chunks.size() && (chunks[at] != nullptr || elsewhere[at]);
    }

    /*! @brief Frees a chunk's bytes: it lies whole somewhere else, from where
     * the owner reads it when asked. */
    void release_bytes(chunk_index at)
    {
        if (!contains(at) || elsewhere[at])
            return;
        total -= chunks[at]->size();
        chunks[at].reset();
        elsewhere[at] = true;
    }

    /*! @brief Forgets a chunk: it must be fetched again. */
    void discard(chunk_index at)
    {
        if (!contains(at))
            return;
        total -= chunks[at] ? chunks[at]->size() : 0;
        chunks[at].reset();
        elsewhere[at] = false;
        --count;
    }

    /*! @brief Returns how many chunks are held. */
    [[nodiscard]] size_type size() const noexcept { return count; }

    /*! @brief Tells whether every chunk is held. */
    [[nodiscard]] bool complete() const noexcept
    {
        return count == chunks.size();
    }

    /*! @brief Returns the bytes held. */
    [[nodiscard]] std::uint64_t memory_bytes() const noexcept { return total; }

    /*! @brief Returns the held chunks in order. */
    [[nodiscard]] std::vector<chunk_index> held_chunks() const
    {
        std::vector<chunk_index> list;
        for (chunk_index at = 0; at < chunks.size(); ++at)
        {
            if (contains(at))
                list.push_back(at);
        }
        return list;
    }

    /*! @brief Returns the manifest. */
    [[nodiscard]] const manifest& get_manifest() const noexcept { return plan; }

private:
    void keep(chunk_index at, value_type bytes)
    {
        total += bytes->size();
        ++count;
        chunks[at] = std::move(bytes);
    }

    manifest plan;
    std::vector<value_type> chunks;
    std::vector<bool> elsewhere; /*!< Held, but not in memory. */
    size_type count{0};
    std::uint64_t total{0};
};

} // namespace coursejunction

#endif
