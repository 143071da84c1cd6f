#include "coursejunction/wire/codec.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "coursejunction/wire/fleet_message.hpp"

namespace cj = coursejunction;
namespace message = coursejunction::message;

TEST_CASE("decoding returns the encoded messages", "[wire]")
{
    rc::prop("a dispatch",
             [](const std::string& request, const std::string& path,
                std::uint64_t stream, std::uint32_t attempt, bool once)
             {
                 message::dispatch from;
                 from.request = request;
                 from.path = path;
                 from.stream = stream;
                 from.attempt = attempt;
                 from.not_repeatable = once;
                 const auto read =
                     cj::decode<message::dispatch>(cj::encode(from));
                 RC_ASSERT(read);
                 RC_ASSERT(read.value().request == request);
                 RC_ASSERT(read.value().path == path);
                 RC_ASSERT(read.value().stream == stream);
                 RC_ASSERT(read.value().attempt == attempt);
                 RC_ASSERT(read.value().not_repeatable == once);
             });
    rc::prop("a claim and the answer of a voter",
             [](std::uint64_t number, const std::string& id, bool taken)
             {
                 const message::claim_note from{number, cj::digest::of(id), id};
                 const auto read =
                     cj::decode<message::claim_note>(cj::encode(from));
                 RC_ASSERT(read.value().number == number);
                 RC_ASSERT(read.value().request == from.request);
                 RC_ASSERT(read.value().claimant == id);
                 const auto answer = cj::decode<message::claim_answer>(
                     cj::encode(message::claim_answer{number, taken}));
                 RC_ASSERT(answer.value().number == number);
                 RC_ASSERT(answer.value().taken == taken);
             });
    rc::prop("a list of chunks",
             [](const std::vector<std::uint32_t>& chunks)
             {
                 message::have from;
                 from.chunks = chunks;
                 const auto read = cj::decode<message::have>(cj::encode(from));
                 RC_ASSERT(read.value().chunks == chunks);
             });
    rc::prop("reports in a status reply",
             [](const std::vector<std::string>& names)
             {
                 message::status_reply from;
                 for (const auto& name : names)
                 {
                     from.replicas.emplace_back();
                     from.replicas.back().instance = name;
                 }
                 const auto read =
                     cj::decode<message::status_reply>(cj::encode(from));
                 RC_ASSERT(read);
                 RC_ASSERT(read.value().replicas.size() == names.size());
             });
    rc::prop("crash records in the heartbeat of an entry",
             [](const std::vector<std::uint8_t>& ends)
             {
                 message::fleet_heartbeat from;
                 from.entry = true;
                 for (const auto one : ends)
                 {
                     from.crashes.emplace_back();
                     from.crashes.back().crashes.resize(one % 9, {7, one});
                 }
                 const auto read =
                     cj::decode<message::fleet_heartbeat>(cj::encode(from));
                 RC_ASSERT(read);
                 const auto& decoded = read.value().crashes;
                 RC_ASSERT(decoded.size() == ends.size());
                 for (std::size_t at = 0; at < ends.size(); ++at)
                     RC_ASSERT(decoded[at].crashes.size() == ends[at] % 9U);
             });
    rc::prop("chunks in the heartbeat of a sidecar",
             [](const std::vector<std::string>& models)
             {
                 message::fleet_heartbeat from;
                 for (const auto& name : models)
                     from.chunks.push_back({name, 1, 0, {}});
                 const auto read =
                     cj::decode<message::fleet_heartbeat>(cj::encode(from));
                 RC_ASSERT(read);
                 RC_ASSERT(read.value().chunks.size() == models.size());
             });
    rc::prop("reported versions in the heartbeat of an entry",
             [](const std::vector<std::string>& models, std::uint64_t version,
                std::uint32_t age)
             {
                 message::fleet_heartbeat from;
                 from.entry = true;
                 for (const auto& name : models)
                     from.versions.push_back({name, version, age});
                 const auto read =
                     cj::decode<message::fleet_heartbeat>(cj::encode(from));
                 RC_ASSERT(read);
                 const auto& decoded = read.value().versions;
                 RC_ASSERT(decoded.size() == models.size());
                 for (std::size_t at = 0; at < models.size(); ++at)
                 {
                     RC_ASSERT(decoded[at].model == models[at]);
                     RC_ASSERT(decoded[at].version == version);
                     RC_ASSERT(decoded[at].age_ms == age);
                 }
             });
}

TEST_CASE("malformed heads are refused without large allocations", "[wire]")
{
    SECTION("a count that exceeds the head")
    {
        // A count of about 3 billion elements in a head of a few bytes.
        std::string head(32, '\0');
        head += std::string("\xff\xff\xff\xbf", 4);
        head += "tiny";
        CHECK_FALSE(cj::decode<message::have>(head));
        CHECK_FALSE(cj::decode<message::status_reply>(head));
    }
    SECTION("a count of versions that exceeds a heartbeat")
    {
        message::fleet_heartbeat from;
        from.entry = true;
        // The versions are encoded last: their count is the last four bytes.
        auto head = cj::encode(from);
        REQUIRE(head.ends_with(std::string(4, '\0')));
        REQUIRE(cj::decode<message::fleet_heartbeat>(head));
        for (const auto* count :
             {"\xff\xff\xff\xbf", "\xff\xff\xff\xff", "\x01\x00\x00\x00"})
        {
            head.replace(head.size() - 4, 4, std::string(count, 4));
            CHECK_FALSE(cj::decode<message::fleet_heartbeat>(head));
            CHECK_FALSE(cj::decode<message::fleet_heartbeat>(
                head + std::string(15, 'x')));
        }
        // A string length that exceeds the message.
        from.versions.push_back({"model", 3, 0});
        head = cj::encode(from);
        const auto name = head.rfind("model");
        head.replace(name - 4, 4, std::string("\xff\xff\xff\x7f", 4));
        CHECK_FALSE(cj::decode<message::fleet_heartbeat>(head));
    }
    SECTION("a head with trailing bytes")
    {
        CHECK_FALSE(cj::decode<message::cancel>(cj::encode(message::cancel{}) +
                                                "more"));
    }
    rc::prop(
        "any truncated message is refused",
        [](const std::string& reason)
        {
            message::answer_end from;
            from.reason = reason;
            const auto whole = cj::encode(from);
            const auto size = *rc::gen::inRange<std::size_t>(0, whole.size());
            RC_ASSERT(!cj::decode<message::answer_end>(whole.substr(0, size)));
        });
    rc::prop("arbitrary bytes are decoded or refused",
             [](const std::string& noise)
             {
                 static_cast<void>(cj::decode<message::report>(noise));
                 static_cast<void>(cj::decode<message::status_reply>(noise));
                 static_cast<void>(cj::decode<message::dispatch>(noise));
                 static_cast<void>(cj::decode<message::heartbeat>(noise));
             });
}
