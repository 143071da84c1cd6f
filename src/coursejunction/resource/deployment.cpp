#include "coursejunction/resource/deployment.hpp"

#include <algorithm>
#include <set>

#include "coursejunction/resource/internal/deployment_json.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr std::size_t max_name = 63;
constexpr std::size_t max_text = 256;
constexpr std::int64_t max_replicas = 100'000;

/*! @brief Reads fields and keeps the first fault. */
class field_reader
{
public:
    explicit field_reader(const json& object) : from(object) {}

    std::string text(const std::string& field, bool required)
    {
        if (!present(field, required))
            return {};
        const auto& value = from.at(field);
        if (!value.is_string() ||
            value.get_ref<const std::string&>().size() > max_text)
        {
            fault(field, "must be a text of at most 256 bytes");
            return {};
        }
        return value.get<std::string>();
    }

    std::int64_t number(const std::string& field, std::int64_t fallback,
                        std::int64_t low, std::int64_t high)
    {
        if (!present(field, false))
            return fallback;
        const auto& value = from.at(field);
        if (!value.is_number_integer() || value.get<std::int64_t>() < low ||
            value.get<std::int64_t>() > high)
        {
            fault(field, "must be a whole number from " + std::to_string(low) +
                             " to " + std::to_string(high));
            return fallback;
        }
        return value.get<std::int64_t>();
    }

    bool flag(const std::string& field)
    {
        if (!present(field, false))
            return false;
        if (!from.at(field).is_boolean())
        {
            fault(field, "must be true or false");
            return false;
        }
        return from.at(field).get<bool>();
    }

    digest hash(const std::string& field, bool required)
    {
        const auto written = text(field, required);
        if (written.empty() && !required)
            return {};
        const auto parsed = digest::parse(written);
        if (!parsed)
        {
            fault(field, "must be the SHA-256 of a manifest, 64 hex digits");
            return {};
        }
        return parsed.value();
    }

    void only(const std::set<std::string>& known)
    {
        for (const auto& [name, value] : from.items())
        {
            if (!known.contains(name))
                fault(name, "is not a field of a deployment");
        }
    }

    void fault(const std::string& field, const std::string& what)
    {
        if (first.empty())
            first = field + ": " + what;
    }

    bool present(const std::string& field, bool required)
    {
        const bool there = from.contains(field);
        if (!there && required)
            fault(field, "is missing");
        return there;
    }

    std::string first;

private:
    const json& from;
};

bool valid_name(const std::string& name)
{
    const auto allowed = [](unsigned char one)
    {
        return (one >= 'a' && one <= 'z') || (one >= '0' && one <= '9') ||
               one == '-';
    };
    return !name.empty() && name.size() <= max_name &&
           std::all_of(name.begin(), name.end(), allowed);
}

std::vector<std::string> read_selector(field_reader& reader, const json& from,
                                       const std::string& at)
{
    std::vector<std::string> selector;
    if (!from.contains("selector"))
        return selector;
    if (!from.at("selector").is_array())
    {
        reader.fault(at + ".selector", "must be a list of labels");
        return selector;
    }
    for (const auto& label : from.at("selector"))
    {
        if (!label.is_string())
            reader.fault(at + ".selector", "must be a list of labels");
        else
            selector.push_back(label.get<std::string>());
    }
    return selector;
}

placement read_placement(field_reader& reader, const json& from,
                         const std::string& at)
{
    placement read;
    if (!from.is_object())
    {
        reader.fault(at, "must be an object");
        return read;
    }
    field_reader inner(from);
    read.hall = hall_id(inner.text("hall", true));
    if (inner.present("count", true))
        read.count =
            static_cast<std::size_t>(inner.number("count", 0, 0, max_replicas));
    if (!inner.first.empty())
        reader.fault(at + "." + inner.first.substr(0, inner.first.find(':')),
                     inner.first.substr(inner.first.find(':') + 2));
    read.selector = read_selector(reader, from, at);
    for (const auto& [name, value] : from.items())
    {
        if (name != "hall" && name != "count" && name != "selector")
            reader.fault(std::string(at).append(".").append(name),
                         "is not a field of a placement");
    }
    return read;
}

std::vector<placement> read_placements(field_reader& reader, const json& from)
{
    std::vector<placement> read;
    if (!reader.present("placements", true))
        return read;
    const auto& list = from.at("placements");
    if (!list.is_array() || list.empty())
    {
        reader.fault("placements", "must be a list with at least one hall");
        return read;
    }
    std::set<hall_id> seen;
    for (std::size_t at = 0; at < list.size(); ++at)
    {
        const auto name = "placements[" + std::to_string(at) + "]";
        auto one = read_placement(reader, list[at], name);
        if (!seen.insert(one.hall).second)
            reader.fault(name + ".hall", "stands twice");
        read.push_back(std::move(one));
    }
    return read;
}

rollout_objective read_objective(field_reader& reader)
{
    const auto text = reader.text("weigh", false);
    if (text == "origin")
        return rollout_objective::origin;
    if (!text.empty() && text != "time")
        reader.fault("weigh", "must be time or origin");
    return rollout_objective::time;
}

json to_json(const deployment& from)
{
    json placements = json::array();
    for (const auto& one : from.placements)
    {
        json written{{"hall", one.hall.value()}, {"count", one.count}};
        if (!one.selector.empty())
            written["selector"] = one.selector;
        placements.push_back(std::move(written));
    }
    json written{{"name", from.name.value()},
                 {"model", from.model},
                 {"role", from.engine_role},
                 {"version", from.version.hex()},
                 {"placements", std::move(placements)},
                 {"max_closed_per_hall", from.max_closed_per_hall},
                 {"weigh", from.objective == rollout_objective::time
                               ? "time"
                               : "origin"},
                 {"paused", from.paused},
                 {"revision", from.changed_revision.value()}};
    if (!from.adapter.empty())
        written["adapter"] = from.adapter;
    if (!from.previous_version.empty())
        written["previous"] = from.previous_version.hex();
    return written;
}

result<deployment> from_json(const json& from)
{
    if (!from.is_object())
        return failure(error_kind::invalid, "body: must be a JSON object");
    field_reader reader(from);
    deployment read;
    const auto name = reader.text("name", true);
    if (!valid_name(name))
        reader.fault("name", "must be 1 to 63 of a-z, 0-9 and -");
    read.name = deployment_name(name);
    read.model = reader.text("model", true);
    if (read.model.empty())
        reader.fault("model", "must not be empty");
    read.adapter = reader.text("adapter", false);
    const auto engine_role = reader.text("role", false);
    if (!engine_role.empty())
        read.engine_role = engine_role;
    read.version = reader.hash("version", true);
    read.previous_version = reader.hash("previous", false);
    read.placements = read_placements(reader, from);
    read.max_closed_per_hall = static_cast<std::size_t>(
        reader.number("max_closed_per_hall", 1, 1, max_replicas));
    read.objective = read_objective(reader);
    read.paused = reader.flag("paused");
    read.changed_revision = revision(
        static_cast<std::uint64_t>(reader.number("revision", 0, 0, INT64_MAX)));
    reader.only({"name", "model", "adapter", "role", "version", "previous",
                 "placements", "max_closed_per_hall", "weigh", "paused",
                 "revision"});
    if (!reader.first.empty())
        return failure(error_kind::invalid, reader.first);
    return read;
}

} // namespace internal

result<deployment> deployment::parse(std::string_view text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded())
        return failure(error_kind::invalid, "body: is not JSON");
    return internal::from_json(parsed);
}

std::string deployment::to_json() const
{
    return internal::to_json(*this).dump();
}

} // namespace coursejunction
