#include "coursejunction/fleet/version_record.hpp"

#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/stored_versions.hpp"

namespace coursejunction
{

std::string version_record_key(const std::string& model)
{
    return std::string(version_record_prefix) + model;
}

std::string version_record_payload(const version_record& record)
{
    message::stored_versions stored;
    stored.model = record.model;
    stored.newest = record.newest;
    stored.minimum = record.minimum;
    return encode(stored);
}

result<version_record> read_version_record(std::string_view key,
                                           std::string_view payload)
{
    const auto read = decode<message::stored_versions>(payload);
    if (!read || version_record_key(read.value().model) != key ||
        read.value().minimum > read.value().newest)
        return failure(error_kind::invalid, "malformed version record");
    const auto& stored = read.value();
    return version_record{stored.model, stored.newest, stored.minimum};
}

} // namespace coursejunction
