#include "coursejunction/daemon/internal/origin_calls.hpp"

#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief Longest time for the whole of one call. */
constexpr milliseconds origin_timeout{60'000};

std::string range_text(const manifest& of, chunk_index chunk)
{
    const auto first = of.offset(chunk);
    const auto last = first + of.chunk_bytes(chunk) - 1;
    return "bytes=" + std::to_string(first) + "-" + std::to_string(last);
}

} // namespace

origin_calls::origin_calls(http_client& carrier, const node_settings& set)
    : client(carrier), settings(set)
{
}

void origin_calls::restart()
{
    stop();
    sources = origin_fallback(!settings.weight_store_url.empty());
    manifest_asked = false;
}

void origin_calls::stop()
{
    ++serial;
    for (const auto& [chunk, call] : open)
        client.cancel(call);
    open.clear();
}

void origin_calls::ask_manifest(const digest& version, done_callback done)
{
    if (manifest_asked)
        return;
    manifest_asked = true;
    http_call call;
    const auto from = sources.current();
    call.url = url_of(from) + "/manifests/" + version.hex();
    call.timeout = origin_timeout;
    client.start(
        std::move(call),
        [this, from, of = serial, done = std::move(done)](http_result end)
        {
            if (of != serial)
                return;
            manifest_asked = false;
            note(from, end);
            done(from, std::move(end));
        });
}

void origin_calls::ask_chunk(const manifest& of, chunk_index chunk,
                             done_callback done)
{
    const auto old = open.find(chunk);
    if (old != open.end())
        client.cancel(old->second);
    const auto from = sources.current();
    http_call call;
    call.url = url_of(from) + of.path();
    call.headers["Range"] = range_text(of, chunk);
    call.timeout = origin_timeout;
    open[chunk] = client.start(std::move(call),
                               [this, chunk, from, begun = serial,
                                done = std::move(done)](http_result end)
                               {
                                   if (begun != serial)
                                       return;
                                   open.erase(chunk);
                                   note(from, end);
                                   done(from, std::move(end));
                               });
}

const std::string& origin_calls::url_of(weight_source from) const
{
    return from == weight_source::store ? settings.weight_store_url
                                        : settings.origin_url;
}

void origin_calls::note(weight_source from, const http_result& end)
{
    if (!end.ok())
        sources.record_failure(from);
}

std::string fault_text(const http_result& end)
{
    return end.fault.empty() ? "status " + std::to_string(end.status)
                             : end.fault;
}

} // namespace coursejunction::internal
