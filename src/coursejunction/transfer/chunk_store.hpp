/*! @file
 * @brief Holds the verified chunks of one version in memory.
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

/*! @brief Holds only chunks whose hash matches the manifest, so that no other
 * bytes can be sent to a peer or staged at an engine. */
class chunk_store
{
public:
    using value_type = std::shared_ptr<const std::string>;
    using size_type = std::size_t;

    /*! @brief Result of adding a chunk. */
    enum class add_result
    {
        added,
        already_held,
        corrupt
    };

    explicit chunk_store(manifest list)
        : content(std::move(list)), chunks(content.size()),
          released(content.size())
    {
    }

    /*! @brief Verifies a chunk and stores it if its size and hash match. */
    add_result add(chunk_index chunk, std::string bytes)
    {
        if (chunk >= chunks.size())
            return add_result::corrupt;
        if (contains(chunk))
            return add_result::already_held;
        if (bytes.size() != content.chunk_bytes(chunk) ||
            digest::of(bytes) != content[chunk])
            return add_result::corrupt;
        insert(chunk, std::make_shared<const std::string>(std::move(bytes)));
        return add_result::added;
    }

    /*! @brief Adds the chunks that this version has in common with another one
     * and that are in memory there; the bytes are shared.
     * @return The chunks added. */
    std::vector<chunk_index> copy_common_from(const chunk_store& other)
    {
        std::unordered_map<digest, value_type> available;
        for (chunk_index chunk = 0; chunk < other.chunks.size(); ++chunk)
        {
            if (other.chunks[chunk])
                available.emplace(other.content[chunk], other.chunks[chunk]);
        }
        std::vector<chunk_index> added_chunks;
        for (chunk_index chunk = 0; chunk < chunks.size(); ++chunk)
        {
            const auto found = available.find(content[chunk]);
            if (chunks[chunk] || found == available.end())
                continue;
            insert(chunk, found->second);
            added_chunks.push_back(chunk);
        }
        return added_chunks;
    }

    /*! @brief Returns a chunk, or null when its bytes are not in memory. */
    [[nodiscard]] value_type find(chunk_index chunk) const
    {
        return chunk < chunks.size() ? chunks[chunk] : nullptr;
    }

    /*! @brief Returns whether a chunk is held, in memory or released. */
    [[nodiscard]] bool contains(chunk_index chunk) const
    {
        return chunk < chunks.size() &&
               (chunks[chunk] != nullptr || released[chunk]);
    }

    /*! @brief Frees the bytes of a held chunk, of which the owner can read
     * another copy. It still counts as held. */
    void release_bytes(chunk_index chunk)
    {
        if (!contains(chunk) || released[chunk])
            return;
        held_bytes -= chunks[chunk]->size();
        chunks[chunk].reset();
        released[chunk] = true;
    }

    /*! @brief Removes a chunk, which must be fetched again. */
    void discard(chunk_index chunk)
    {
        if (!contains(chunk))
            return;
        held_bytes -= chunks[chunk] ? chunks[chunk]->size() : 0;
        chunks[chunk].reset();
        released[chunk] = false;
        --count;
    }

    /*! @brief Returns the number of held chunks. */
    [[nodiscard]] size_type size() const noexcept { return count; }

    /*! @brief Returns whether every chunk is held. */
    [[nodiscard]] bool complete() const noexcept
    {
        return count == chunks.size();
    }

    /*! @brief Returns the number of bytes in memory. */
    [[nodiscard]] std::uint64_t memory_bytes() const noexcept
    {
        return held_bytes;
    }

    /*! @brief Returns the held chunks in ascending order. */
    [[nodiscard]] std::vector<chunk_index> held_chunks() const
    {
        std::vector<chunk_index> list;
        for (chunk_index chunk = 0; chunk < chunks.size(); ++chunk)
        {
            if (contains(chunk))
                list.push_back(chunk);
        }
        return list;
    }

    [[nodiscard]] const manifest& get_manifest() const noexcept
    {
        return content;
    }

private:
    void insert(chunk_index chunk, value_type bytes)
    {
        held_bytes += bytes->size();
        ++count;
        chunks[chunk] = std::move(bytes);
    }

    manifest content;
    std::vector<value_type> chunks;
    std::vector<bool> released; /*!< Held, but not in memory. */
    size_type count{0};
    std::uint64_t held_bytes{0};
};

} // namespace coursejunction

#endif
