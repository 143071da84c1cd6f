#include "coursejunction/fleet/quarantine_item.hpp"

#include <algorithm>
#include <limits>

#include "coursejunction/wire/codec.hpp"

namespace coursejunction
{

std::string quarantine_key(const request_content& what)
{
    return std::string(quarantine_prefix) + what.hex();
}

std::string quarantine_payload(const message::crash_record& record,
                               std::int64_t wall)
{
    message::kept_quarantine kept;
    kept.record = record;
    kept.last_end = wall - static_cast<std::int64_t>(record.age_ms);
    return encode(kept);
}

result<message::crash_record> read_quarantine(std::string_view key,
                                              std::string_view payload,
                                              std::int64_t wall)
{
    const auto what = request_content::parse(
        key.substr(std::min(key.size(), quarantine_prefix.size())));
    const auto read = decode<message::kept_quarantine>(payload);
    if (!what || !read || read.value().record.content != what.value())
        return failure(error_kind::invalid, "a quarantine cannot be read");
    constexpr std::int64_t oldest = std::numeric_limits<std::uint32_t>::max();
    auto record = read.value().record;
    record.age_ms = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(wall - read.value().last_end, 0, oldest));
    return record;
}

} // namespace coursejunction
