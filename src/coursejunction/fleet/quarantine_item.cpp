#include "coursejunction/fleet/quarantine_item.hpp"

#include <algorithm>
#include <limits>

#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

std::string quarantine_key(const request_content& content)
{
    return std::string(quarantine_prefix) + content.hex();
}

std::string quarantine_payload(const message::crash_record& record,
                               std::int64_t wall_ms)
{
    message::stored_quarantine stored;
    stored.record = record;
    stored.last_crash = wall_ms - static_cast<std::int64_t>(record.age_ms);
    return encode(stored);
}

result<message::crash_record> read_quarantine(std::string_view key,
                                              std::string_view payload,
                                              std::int64_t wall_ms)
{
    const auto content = request_content::parse(
        key.substr(std::min(key.size(), quarantine_prefix.size())));
    const auto read = decode<message::stored_quarantine>(payload);
    if (!content || !read || read.value().record.content != content.value())
        return failure(error_kind::invalid, "malformed quarantine");
    constexpr std::int64_t max_age_ms =
        std::numeric_limits<std::uint32_t>::max();
    auto record = read.value().record;
    record.age_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        wall_ms - read.value().last_crash, 0, max_age_ms));
    return record;
}

} // namespace coursejunction
