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

bool has_shape(const json& from)
{
    return from.is_object() && from.contains("path") &&
           from["path"].is_string() && from.contains("bytes") &&
           from["bytes"].is_number_unsigned() && from.contains("chunk_bytes") &&
           from["chunk_bytes"].is_number_unsigned() &&
           from.contains("chunks") && from["chunks"].is_array();
}

} // namespace internal

result<manifest> manifest::parse(std::string_view text, const digest& expected)
{
    if (digest::of(text) != expected)
        return failure(error_kind::refused, "manifest does not match its hash");
    const auto from = nlohmann::json::parse(text, nullptr, false);
    if (!internal::has_shape(from))
        return failure(error_kind::refused, "manifest has a wrong shape");
    manifest read;
    read.own = expected;
    read.written = text;
    read.location = from["path"].get<std::string>();
    read.total = from["bytes"].get<std::uint64_t>();
    read.each = from["chunk_bytes"].get<std::uint64_t>();
    const auto count = from["chunks"].size();
    if (read.each == 0 || read.each > internal::max_chunk_bytes || count == 0 ||
        count != (read.total + read.each - 1) / read.each)
        return failure(error_kind::refused, "manifest's sizes do not agree");
    read.chunks.reserve(count);
    for (const auto& one : from["chunks"])
    {
        const auto hash = one.is_string()
                              ? digest::parse(one.get_ref<const std::string&>())
                              : digest::parse("");
        if (!hash)
            return failure(error_kind::refused, "manifest names a wrong hash");
        read.chunks.push_back(hash.value());
    }
    return read;
}

result<manifest> manifest::assemble(std::size_t chunk_bytes,
                                    std::vector<digest> hashes)
{
    if (chunk_bytes == 0 || chunk_bytes > internal::max_chunk_bytes ||
        hashes.empty())
        return failure(error_kind::refused, "manifest lists no chunks");
    manifest made;
    std::string joined;
    for (const auto& one : hashes)
        joined.append(one.hex());
    made.own = digest::of(joined);
    made.each = chunk_bytes;
    made.total = std::uint64_t{chunk_bytes} * hashes.size();
    made.chunks = std::move(hashes);
    return made;
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
        const auto hash = digest::parse(line);
        if (!hash)
            return failure(error_kind::refused, "manifest names a wrong hash");
        hashes.push_back(hash.value());
    }
    return assemble(bytes, std::move(hashes));
}

std::string manifest::to_lines() const
{
    std::string text = std::to_string(each) + "\n";
    for (const auto& one : chunks)
        text.append(one.hex()).append("\n");
    return text;
}

std::string manifest::build_json(const std::string& path,
                                 std::string_view bytes,
                                 std::size_t chunk_bytes)
{
    auto list = nlohmann::json::array();
    for (std::size_t at = 0; at < bytes.size(); at += chunk_bytes)
        list.push_back(digest::of(bytes.substr(at, chunk_bytes)).hex());
    return nlohmann::json{{"path", path},
                          {"bytes", bytes.size()},
                          {"chunk_bytes", chunk_bytes},
                          {"chunks", std::move(list)}}
        .dump();
}

std::size_t manifest::chunk_bytes(chunk_index at) const
{
    return static_cast<std::size_t>(
        std::min<std::uint64_t>(each, total - offset(at)));
}

} // namespace coursejunction
