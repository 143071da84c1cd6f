#include "coursejunction/resource/deployment.hpp"

#include <algorithm>
#include <set>

#include "coursejunction/resource/internal/deployment_json.hpp"

namespace coursejunction
{

namespace internal
{

using nlohmann::json;

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_text_bytes = 256;
constexpr std::int64_t max_replicas = 100'000;

/*! @brief Reads and checks the fields of a JSON object and keeps the first
 * error, as "field: what is wrong". */
class field_reader
{
public:
    explicit field_reader(const json& source) : object(source) {}

    std::string text(const std::string& field, bool required)
    {
        if (!present(field, required))
            return {};
        const auto& value = object.at(field);
        if (!value.is_string() ||
            value.get_ref<const std::string&>().size() > max_text_bytes)
        {
            add_error(field, "must be a string of at most 256 bytes");
            return {};
        }
        return value.get<std::string>();
    }

    std::int64_t number(const std::string& field, std::int64_t fallback,
                        std::int64_t low, std::int64_t high)
    {
        if (!present(field, false))
            return fallback;
        const auto& value = object.at(field);
        if (!value.is_number_integer() || value.get<std::int64_t>() < low ||
            value.get<std::int64_t>() > high)
        {
            add_error(field, "must be a whole number from " +
                                 std::to_string(low) + " to " +
                                 std::to_string(high));
            return fallback;
        }
        return value.get<std::int64_t>();
    }

    bool flag(const std::string& field)
    {
        if (!present(field, false))
            return false;
        if (!object.at(field).is_boolean())
        {
            add_error(field, "must be true or false");
            return false;
        }
        return object.at(field).get<bool>();
    }

    digest sha256(const std::string& field, bool required)
    {
        const auto hex = text(field, required);
        if (hex.empty() && !required)
            return {};
        const auto parsed = digest::parse(hex);
        if (!parsed)
        {
            add_error(field,
                      "must be the SHA-256 of a manifest, 64 hex digits");
            return {};
        }
        return parsed.value();
    }

    void reject_other_fields(const std::set<std::string>& known)
    {
        for (const auto& [name, value] : object.items())
        {
            if (!known.contains(name))
                add_error(name, "is not a field of a deployment");
        }
    }

    void add_error(const std::string& field, const std::string& message)
    {
        if (first_error.empty())
            first_error = field + ": " + message;
    }

    bool present(const std::string& field, bool required)
    {
        const bool found = object.contains(field);
        if (!found && required)
            add_error(field, "is missing");
        return found;
    }

    std::string first_error;

private:
    const json& object;
};

bool valid_name(const std::string& name)
{
    const auto allowed = [](unsigned char c)
    { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; };
    return !name.empty() && name.size() <= max_name_bytes &&
           std::all_of(name.begin(), name.end(), allowed);
}

std::vector<std::string> read_selector(field_reader& reader, const json& object,
                                       const std::string& path)
{
    std::vector<std::string> selector;
    if (!object.contains("selector"))
        return selector;
    if (!object.at("selector").is_array())
    {
        reader.add_error(path + ".selector", "must be a list of strings");
        return selector;
    }
    for (const auto& label : object.at("selector"))
    {
        if (!label.is_string())
            reader.add_error(path + ".selector", "must be a list of strings");
        else
            selector.push_back(label.get<std::string>());
    }
    return selector;
}

placement read_placement(field_reader& reader, const json& object,
                         const std::string& path)
{
    placement read;
    if (!object.is_object())
    {
        reader.add_error(path, "must be an object");
        return read;
    }
    field_reader inner(object);
    read.hall = hall_id(inner.text("hall", true));
    if (inner.present("count", true))
        read.count =
            static_cast<std::size_t>(inner.number("count", 0, 0, max_replicas));
    if (!inner.first_error.empty())
        reader.add_error(
            path + "." +
                inner.first_error.substr(0, inner.first_error.find(':')),
            inner.first_error.substr(inner.first_error.find(':') + 2));
    read.selector = read_selector(reader, object, path);
    for (const auto& [name, value] : object.items())
    {
        if (name != "hall" && name != "count" && name != "selector")
            reader.add_error(std::string(path).append(".").append(name),
                             "is not a field of a placement");
    }
    return read;
}

std::vector<placement> read_placements(field_reader& reader, const json& object)
{
    std::vector<placement> read;
    if (!reader.present("placements", true))
        return read;
    const auto& list = object.at("placements");
    if (!list.is_array() || list.empty())
    {
        reader.add_error("placements", "must be a list with at least one hall");
        return read;
    }
    std::set<hall_id> seen;
    for (std::size_t at = 0; at < list.size(); ++at)
    {
        const auto path = "placements[" + std::to_string(at) + "]";
        auto one = read_placement(reader, list[at], path);
        if (!seen.insert(one.hall).second)
            reader.add_error(path + ".hall", "has another placement already");
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
        reader.add_error("weigh", "must be time or origin");
    return rollout_objective::time;
}

json to_json(const deployment& spec)
{
    json placements = json::array();
    for (const auto& one : spec.placements)
    {
        json written{{"hall", one.hall.value()}, {"count", one.count}};
        if (!one.selector.empty())
            written["selector"] = one.selector;
        placements.push_back(std::move(written));
    }
    json written{{"name", spec.name.value()},
                 {"model", spec.model},
                 {"role", spec.engine_role},
                 {"version", spec.version.hex()},
                 {"placements", std::move(placements)},
                 {"max_closed_per_hall", spec.max_closed_per_hall},
                 {"weigh", spec.objective == rollout_objective::time
                               ? "time"
                               : "origin"},
                 {"paused", spec.paused},
                 {"revision", spec.changed_revision.value()}};
    if (!spec.adapter.empty())
        written["adapter"] = spec.adapter;
    if (!spec.previous_version.empty())
        written["previous"] = spec.previous_version.hex();
    return written;
}

result<deployment> from_json(const json& object)
{
    if (!object.is_object())
        return failure(error_kind::invalid, "body: must be a JSON object");
    field_reader reader(object);
    deployment read;
    const auto name = reader.text("name", true);
    if (!valid_name(name))
        reader.add_error("name",
                         "must be 1 to 63 characters of a-z, 0-9 and -");
    read.name = deployment_name(name);
    read.model = reader.text("model", true);
    if (read.model.empty())
        reader.add_error("model", "must not be empty");
    read.adapter = reader.text("adapter", false);
    const auto engine_role = reader.text("role", false);
    if (!engine_role.empty())
        read.engine_role = engine_role;
    read.version = reader.sha256("version", true);
    read.previous_version = reader.sha256("previous", false);
    read.placements = read_placements(reader, object);
    read.max_closed_per_hall = static_cast<std::size_t>(
        reader.number("max_closed_per_hall", 1, 1, max_replicas));
    read.objective = read_objective(reader);
    read.paused = reader.flag("paused");
    read.changed_revision = revision(
        static_cast<std::uint64_t>(reader.number("revision", 0, 0, INT64_MAX)));
    reader.reject_other_fields({"name", "model", "adapter", "role", "version",
                                "previous", "placements", "max_closed_per_hall",
                                "weigh", "paused", "revision"});
    if (!reader.first_error.empty())
        return failure(error_kind::invalid, reader.first_error);
    return read;
}

} // namespace internal

result<deployment> deployment::parse(std::string_view text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (parsed.is_discarded())
        return failure(error_kind::invalid, "body: is not valid JSON");
    return internal::from_json(parsed);
}

std::string deployment::to_json() const
{
    return internal::to_json(*this).dump();
}

} // namespace coursejunction
