/*! @file
 * @brief Lists the chunks of a model version.
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

/*! @brief Lists the chunks of a version by their SHA-256, in order. The SHA-256
 * of the text of the manifest is the version that a deployment refers to. */
class manifest
{
public:
    using value_type = digest;
    using size_type = std::size_t;

    /*! @brief Parses a manifest and checks it against its expected hash.
     * @return The manifest, or `refused`. */
    [[nodiscard]] static result<manifest> parse(std::string_view text,
                                                const digest& expected);

    /*! @brief Creates a manifest of chunks of equal size from hashes that an
     * external system lists.
     * @return The manifest, or `refused` if there are none. */
    [[nodiscard]] static result<manifest> assemble(std::size_t chunk_bytes,
                                                   std::vector<digest> hashes);

    /*! @brief Parses the result of `to_lines`.
     * @return The manifest, or `refused`. */
    [[nodiscard]] static result<manifest> from_lines(const std::string& text);

    /*! @brief Returns the chunk size and the hashes, one per line. */
    [[nodiscard]] std::string to_lines() const;

    /*! @brief Returns the JSON text of a manifest.
     * @param path Path of the model at the origin.
     * @param bytes The whole model.
     * @param chunk_bytes Size of each chunk but the last. */
    [[nodiscard]] static std::string build_json(const std::string& path,
                                                std::string_view bytes,
                                                std::size_t chunk_bytes);

    /*! @brief Returns the hash of the text, which is the version. */
    [[nodiscard]] const digest& id() const noexcept { return hash; }

    /*! @brief Returns the JSON text; empty if the manifest was not parsed from
     * one. */
    [[nodiscard]] const std::string& text() const noexcept { return json_text; }

    /*! @brief Returns the path of the model at the origin; empty as for
     * `text`. */
    [[nodiscard]] const std::string& path() const noexcept
    {
        return origin_path;
    }

    [[nodiscard]] size_type size() const noexcept { return chunks.size(); }

    /*! @brief Returns the hash of a chunk. */
    [[nodiscard]] const digest& operator[](chunk_index chunk) const
    {
        return chunks[chunk];
    }

    /*! @brief Returns the size of the whole model in bytes. */
    [[nodiscard]] std::uint64_t total_bytes() const noexcept
    {
        return model_bytes;
    }

    /*! @brief Returns the offset of a chunk in the model, in bytes. */
    [[nodiscard]] std::uint64_t offset(chunk_index chunk) const
    {
        return std::uint64_t{chunk} * bytes_per_chunk;
    }

    /*! @brief Returns the size of a chunk in bytes. */
    [[nodiscard]] std::size_t chunk_bytes(chunk_index chunk) const;

private:
    digest hash;
    std::string json_text;
    std::string origin_path;
    std::uint64_t model_bytes{0};
    std::size_t bytes_per_chunk{0};
    std::vector<digest> chunks;
};

} // namespace coursejunction

#endif
