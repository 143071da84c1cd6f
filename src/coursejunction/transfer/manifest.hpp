/*! @file
 * @brief List of the chunks of a model version.
 */
#ifndef COURSEJUNCTION_TRANSFER_MANIFEST_HPP
#define COURSEJUNCTION_TRANSFER_MANIFEST_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/result.hpp"
#include "coursejunction/transfer/fwd.hpp"

namespace coursejunction
{

/*! @brief Names a version's chunks by their SHA-256, in order. The SHA-256 of
 * the manifest's own text is the version that a deployment names. */
class manifest
{
public:
    using value_type = digest;
    using size_type = std::size_t;

    /*! @brief Reads a manifest and checks it against the hash that named it.
     * @return The manifest, or `refused`. */
    [[nodiscard]] static result<manifest> parse(std::string_view text,
                                                const digest& expected);

    /*! @brief Makes a manifest of chunks of one size whose hashes an outside
     * system lists.
     * @return The manifest, or `refused` when there are none. */
    [[nodiscard]] static result<manifest> assemble(std::size_t chunk_bytes,
                                                   std::vector<digest> hashes);

    /*! @brief Reads what `to_lines` wrote.
     * @return The manifest, or `refused`. */
    [[nodiscard]] static result<manifest> from_lines(const std::string& text);

    /*! @brief Returns the chunk size and the hashes, a line each. */
    [[nodiscard]] std::string to_lines() const;

    /*! @brief Makes the text of a manifest.
     * @param path Path of the bytes at the origin.
     * @param bytes The whole model.
     * @param chunk_bytes Size of each chunk but the last. */
    [[nodiscard]] static std::string build_json(const std::string& path,
                                                std::string_view bytes,
                                                std::size_t chunk_bytes);

    /*! @brief Returns the hash of the text: the version. */
    [[nodiscard]] const digest& id() const noexcept { return own; }

    /*! @brief Returns the text. */
    [[nodiscard]] const std::string& text() const noexcept { return written; }

    /*! @brief Returns the path of the bytes at the origin. */
    [[nodiscard]] const std::string& path() const noexcept { return location; }

    /*! @brief Returns the number of chunks. */
    [[nodiscard]] size_type size() const noexcept { return chunks.size(); }

    /*! @brief Returns the hash of a chunk. */
    [[nodiscard]] const digest& operator[](chunk_index at) const
    {
        return chunks[at];
    }

    /*! @brief Returns the bytes of the whole model. */
    [[nodiscard]] std::uint64_t total_bytes() const noexcept { return total; }

    /*! @brief Returns where a chunk begins. */
    [[nodiscard]] std::uint64_t offset(chunk_index at) const
    {
        return std::uint64_t{at} * each;
    }

    /*! @brief Returns the size of a chunk in bytes. */
    [[nodiscard]] std::size_t chunk_bytes(chunk_index at) const;

private:
    digest own;
    std::string written;
    std::string location;
    std::uint64_t total{0};
    std::size_t each{0};
    std::vector<digest> chunks;
};

} // namespace coursejunction

#endif
