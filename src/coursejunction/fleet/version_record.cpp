#include "coursejunction/fleet/version_record.hpp"

#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/kept_versions.hpp"

namespace coursejunction
{

std::string version_record_key(const std::string& model)
{
    return std::string(version_record_prefix) + model;
}

std::string version_record_payload(const version_record& record)
{
    message::kept_versions kept;
    kept.model = record.model;
    kept.newest = record.newest;
    kept.binding = record.minimum;
    return encode(kept);
}

result<version_record> read_version_record(std::string_view key,
                                           std::string_view payload)
{
    const auto read = decode<message::kept_versions>(payload);
    if (!read || version_record_key(read.value().model) != key ||
        read.value().binding > read.value().newest)
        return failure(error_kind::invalid, "a version record cannot be read");
    const auto& kept = read.value();
    return version_record{kept.model, kept.newest, kept.binding};
}

} // namespace coursejunction
