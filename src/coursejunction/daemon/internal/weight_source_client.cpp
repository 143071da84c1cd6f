#include "coursejunction/daemon/internal/weight_source_client.hpp"

#include <utility>

namespace coursejunction::internal
{

namespace
{

/*! @brief Timeout of a whole call. */
constexpr milliseconds call_timeout{60'000};

std::string range_of(const manifest& of, chunk_index chunk)
{
    const auto first = of.offset(chunk);
    const auto last = first + of.chunk_bytes(chunk) - 1;
    return "bytes=" + std::to_string(first) + "-" + std::to_string(last);
}

} // namespace

weight_source_client::weight_source_client(http_client& http,
                                           const node_settings& set)
    : client(http), settings(set)
{
}

void weight_source_client::reset()
{
    cancel_all();
    sources = origin_fallback(!settings.weight_store_url.empty());
    manifest_in_progress = false;
}

void weight_source_client::cancel_all()
{
    ++generation;
    for (const auto& [chunk, call] : chunk_calls)
        client.cancel(call);
    chunk_calls.clear();
}

void weight_source_client::fetch_manifest(const digest& version,
                                          done_callback done)
{
    if (manifest_in_progress)
        return;
    manifest_in_progress = true;
    http_call call;
    const auto from = sources.current();
    call.url = url_of(from) + "/manifests/" + version.hex();
    call.timeout = call_timeout;
    client.start(std::move(call),
                 [this, from, call_generation = generation,
                  done = std::move(done)](http_result response)
                 {
                     if (call_generation != generation)
                         return;
                     manifest_in_progress = false;
                     record_result(from, response);
                     done(from, std::move(response));
                 });
}

void weight_source_client::fetch_chunk(const manifest& of, chunk_index chunk,
                                       done_callback done)
{
    const auto previous = chunk_calls.find(chunk);
    if (previous != chunk_calls.end())
        client.cancel(previous->second);
    const auto from = sources.current();
    http_call call;
    call.url = url_of(from) + of.path();
    call.headers["Range"] = range_of(of, chunk);
    call.timeout = call_timeout;
    chunk_calls[chunk] =
        client.start(std::move(call),
                     [this, chunk, from, call_generation = generation,
                      done = std::move(done)](http_result response)
                     {
                         if (call_generation != generation)
                             return;
                         chunk_calls.erase(chunk);
                         record_result(from, response);
                         done(from, std::move(response));
                     });
}

const std::string& weight_source_client::url_of(weight_source from) const
{
    return from == weight_source::store ? settings.weight_store_url
                                        : settings.origin_url;
}

void weight_source_client::record_result(weight_source from,
                                         const http_result& response)
{
    if (!response.ok())
        sources.record_failure(from);
}

std::string failure_text(const http_result& response)
{
    return response.fault.empty() ? "status " + std::to_string(response.status)
                                  : response.fault;
}

} // namespace coursejunction::internal
