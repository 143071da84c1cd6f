/*! @file
 * @brief Stand-in of the origin and, with another rate, of the weight store:
 * manifests by hash, bytes by range, one link that all answers share.
 */
#include <map>
#include <random>

#include "coursejunction/core/digest.hpp"
#include "coursejunction/core/pacing.hpp"
#include "coursejunction/transfer/manifest.hpp"
#include "standin.hpp"

namespace standin
{

/*! @brief Makes a model's bytes from a seed. */
std::string make_bytes(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string bytes;
    bytes.reserve(count + sizeof(std::uint64_t));
    while (bytes.size() < count)
    {
        const auto value = random();
        bytes.append(reinterpret_cast<const char*>(&value), sizeof(value));
    }
    bytes.resize(count);
    return bytes;
}

class origin
{
public:
    origin(event_loop& target, double rate) : later(target), link(rate) {}

    void handle(http_request request, const reply_pointer& reply)
    {
        const auto parts = split_path(request.path);
        if (request.path == "/faults")
            return set_faults(request, reply);
        if (request.path == "/counts")
            return send_json(reply, 200,
                             {{"bytes", bytes},
                              {"requests", requests},
                              {"corrupted", corrupted}});
        if (request.path == "/models" && request.method == "POST")
            return create(request, reply);
        if (down)
            return reply->cut();
        if (parts.size() == 2 && parts[0] == "manifests")
            return send_manifest(parts[1], reply);
        if (parts.size() == 2 && parts[0] == "models")
            return send_range(parts[1], request, reply);
        reply->send(404, "", {}, "");
    }

private:
    void set_faults(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body);
        down = body.value("down", down);
        corrupt_every = body.value("corrupt_every", corrupt_every);
        corrupt_manifests = body.value("corrupt_manifests", corrupt_manifests);
        link.limit_to(body.value("portion", link.fraction()));
        send_json(reply, 200, {{"done", true}});
    }

    void create(const http_request& request, const reply_pointer& reply)
    {
        const auto body = json::parse(request.body);
        const auto name = body.at("name").get<std::string>();
        const auto size = body.at("bytes").get<std::size_t>();
        auto made = make_bytes(size, body.value("seed", std::uint64_t{1}));
        if (body.contains("like"))
        {
            // The first part is the same as in another model.
            const auto& other = models.at(body["like"].get<std::string>());
            const auto shared = static_cast<std::size_t>(
                static_cast<double>(size) * body.value("shared", 0.5));
            made.replace(0, shared, other, 0, shared);
        }
        const auto manifest = coursejunction::manifest::build_json(
            "/models/" + name, made,
            body.value("chunk_bytes", std::size_t{1} << 17U));
        const auto version = coursejunction::digest::of(manifest).hex();
        manifests[version] = manifest;
        models[name] = std::move(made);
        send_json(reply, 200, {{"version", version}});
    }

    void send_manifest(const std::string& version, const reply_pointer& reply)
    {
        const auto found = manifests.find(version);
        if (found == manifests.end())
            return reply->send(404, "", {}, "");
        auto text = found->second;
        if (corrupt_manifests > 0)
        {
            --corrupt_manifests;
            ++corrupted;
            text[text.size() / 2] ^= 1;
        }
        pace(200, std::move(text), reply);
    }

    void send_range(const std::string& name, const http_request& request,
                    const reply_pointer& reply)
    {
        const auto found = models.find(name);
        std::size_t first = 0;
        std::size_t last = 0;
        const auto range = request.header("range");
        if (found == models.end() ||
            std::sscanf(range.c_str(), "bytes=%zu-%zu", &first, &last) != 2 ||
            first > last || last >= found->second.size())
            return reply->send(found == models.end() ? 404 : 416, "", {}, "");
        auto part = found->second.substr(first, last - first + 1);
        ++requests;
        if (corrupt_every > 0 && requests % corrupt_every == 0)
        {
            ++corrupted;
            part[part.size() / 2] ^= 1;
        }
        pace(206, std::move(part), reply);
    }

    void pace(int status, std::string part, const reply_pointer& reply)
    {
        const auto now = event_loop::now();
        const auto end = link.reserve(static_cast<double>(part.size()), now);
        later.after(end - now,
                    [this, status, part = std::move(part), reply]
                    {
                        if (down)
                            return reply->cut();
                        bytes += part.size();
                        reply->send(status, "application/octet-stream", {},
                                    part);
                    });
    }

    delayer later;
    coursejunction::link_pacer link;
    std::map<std::string, std::string> models;
    std::map<std::string, std::string> manifests;
    std::uint64_t bytes{0};
    std::uint64_t requests{0};
    std::uint64_t corrupted{0};
    std::uint64_t corrupt_every{0};
    int corrupt_manifests{0};
    bool down{false};
};

} // namespace standin

int main(int argc, char** argv)
{
    cxxopts::Options options("origin", "stand-in of origin or weight store");
    options.add_options()("rate", "bytes a second, 0 for no limit",
                          cxxopts::value<double>()->default_value("0"));
    const auto parsed = standin::parse(options, argc, argv);
    coursejunction::event_loop loop;
    standin::origin service(loop, parsed["rate"].as<double>());
    return standin::run(loop, service, parsed["port"].as<std::uint16_t>(), 2,
                        std::size_t{1} << 20U);
}
