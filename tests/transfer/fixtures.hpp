/*! @file
 * @brief Small manifests and participants for the tests of the transfer
 * module.
 */
#ifndef COURSEJUNCTION_TESTS_TRANSFER_FIXTURES_HPP
#define COURSEJUNCTION_TESTS_TRANSFER_FIXTURES_HPP

#include <string>
#include <vector>

#include "coursejunction/transfer/manifest.hpp"
#include "coursejunction/transfer/source_policy.hpp"

namespace fixtures
{

namespace cj = coursejunction;

inline constexpr std::size_t chunk_bytes = 16;

/*! @brief Returns the bytes of a model whose chunks all differ. */
inline std::string model_bytes(std::size_t chunks, char first = 'a')
{
    std::string bytes;
    for (std::size_t index = 0; index < chunks; ++index)
    {
        std::string chunk = std::string(1, first) + std::to_string(index);
        chunk.resize(chunk_bytes, '.');
        bytes += chunk;
    }
    return bytes;
}

inline cj::manifest manifest_of(const std::string& bytes)
{
    const auto text = cj::manifest::build_json("/m", bytes, chunk_bytes);
    return cj::manifest::parse(text, cj::digest::of(text)).value();
}

/*! @brief Returns instances spread over halls a, b (region x) and c (region
 * y). */
inline std::vector<cj::participant> participants(std::size_t count)
{
    const std::vector<std::pair<std::string, std::string>> halls{
        {"a", "x"}, {"b", "x"}, {"c", "y"}};
    std::vector<cj::participant> all;
    for (std::size_t index = 0; index < count; ++index)
    {
        const auto& [hall, region] = halls[index % halls.size()];
        all.push_back({cj::instance_id("i" + std::to_string(index)),
                       cj::hall_id(hall), cj::region_id(region)});
    }
    return all;
}

} // namespace fixtures

#endif
