#include "coursejunction/rollout/weights_record.hpp"

#include "coursejunction/wire/codec.hpp"
#include "coursejunction/wire/stored_weights.hpp"

namespace coursejunction
{

std::string weights_record_key(const std::string& address)
{
    return std::string(weights_record_prefix) + address;
}

std::string weights_record_payload(const weights_record& record)
{
    message::stored_weights stored;
    stored.model = record.model;
    stored.version = record.version;
    stored.life = record.life.value();
    stored.sequence = record.sequence;
    return encode(stored);
}

result<weights_record> read_weights_record(std::string_view payload)
{
    const auto read = decode<message::stored_weights>(payload);
    if (!read)
        return failure(error_kind::invalid, "malformed weights record");
    const auto& stored = read.value();
    return weights_record{stored.model, stored.version,
                          incarnation(stored.life), stored.sequence};
}

} // namespace coursejunction
