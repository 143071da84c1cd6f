#include "coursejunction/transfer/manifest.hpp"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr std::uint64_t max_chunk_bytes = std::uint64_t{32} << 20U;

bool has_required_fields(const json& object)
{
    return object.is_object() && object.contains("path") &&
           object["path"].is_string() && object.contains("bytes") &&
           object["bytes"].is_number_unsigned() &&
           object.contains("chunk_bytes") &&
           object["chunk_bytes"].is_number_unsigned() &&
           object.contains("chunks") && object["chunks"].is_array();
}

} // namespace internal

result<manifest> manifest::parse(std::string_view text, const digest& expected)
{
    if (digest::of(text) != expected)
        return failure(error_kind::refused, "manifest does not match its hash");
    const auto object = nlohmann::json::parse(text, nullptr, false);
    if (!internal::has_required_fields(object))
        return failure(error_kind::refused,
                       "manifest lacks a field or has one of a wrong type");
    manifest parsed;
    parsed.hash = expected;
    parsed.json_text = text;
    parsed.origin_path = object["path"].get<std::string>();
    parsed.model_bytes = object["bytes"].get<std::uint64_t>();
    parsed.bytes_per_chunk = object["chunk_bytes"].get<std::uint64_t>();
    const auto count = object["chunks"].size();
    if (parsed.bytes_per_chunk == 0 ||
        parsed.bytes_per_chunk > internal::max_chunk_bytes || count == 0 ||
        count != (parsed.model_bytes + parsed.bytes_per_chunk - 1) /
                     parsed.bytes_per_chunk)
        return failure(
            error_kind::refused,
            "chunk size, total size and chunk count of the manifest disagree");
    parsed.chunks.reserve(count);
    for (const auto& one : object["chunks"])
    {
        const auto chunk_hash =
            one.is_string() ? digest::parse(one.get_ref<const std::string&>())
                            : digest::parse("");
        if (!chunk_hash)
            return failure(error_kind::refused,
                           "manifest contains an invalid hash");
        parsed.chunks.push_back(chunk_hash.value());
    }
    return parsed;
}

result<manifest> manifest::assemble(std::size_t chunk_bytes,
                                    std::vector<digest> hashes)
{
    if (chunk_bytes == 0 || chunk_bytes > internal::max_chunk_bytes ||
        hashes.empty())
        return failure(error_kind::refused, "manifest lists no chunks");
    manifest assembled;
    std::string joined;
    for (const auto& one : hashes)
        joined.append(one.hex());
    assembled.hash = digest::of(joined);
    assembled.bytes_per_chunk = chunk_bytes;
    assembled.model_bytes = std::uint64_t{chunk_bytes} * hashes.size();
    assembled.chunks = std::move(hashes);
    return assembled;
}

result<manifest> manifest::from_lines(const std::string& text)
{
    std::istringstream stream(text);
    std::size_t bytes = 0;
    stream >> bytes;
    std::vector<digest> hashes;
    std::string line;
    while (stream >> line)
    {
        const auto chunk_hash = digest::parse(line);
        if (!chunk_hash)
            return failure(error_kind::refused,
                           "manifest contains an invalid hash");
        hashes.push_back(chunk_hash.value());
    }
    return assemble(bytes, std::move(hashes));
}

std::string manifest::to_lines() const
{
    std::string text = std::to_string(bytes_per_chunk) + "\n";
    for (const auto& one : chunks)
        text.append(one.hex()).append("\n");
    return text;
}

std::string manifest::build_json(const std::string& path,
                                 std::string_view bytes,
                                 std::size_t chunk_bytes)
{
    auto list = nlohmann::json::array();
    for (std::size_t begin = 0; begin < bytes.size(); begin += chunk_bytes)
        list.push_back(digest::of(bytes.substr(begin, chunk_bytes)).hex());
    return nlohmann::json{{"path", path},
                          {"bytes", bytes.size()},
                          {"chunk_bytes", chunk_bytes},
                          {"chunks", std::move(list)}}
        .dump();
}

std::size_t manifest::chunk_bytes(chunk_index chunk) const
{
    return static_cast<std::size_t>(
        std::min<std::uint64_t>(bytes_per_chunk, model_bytes - offset(chunk)));
}

} // namespace coursejunction
