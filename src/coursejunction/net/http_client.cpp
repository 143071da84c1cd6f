#include "coursejunction/net/http_client.hpp"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <curl/curl.h>

#include "coursejunction/net/event_loop.hpp"
#include "coursejunction/net/internal/response_head.hpp"

namespace coursejunction
{

namespace internal
{

constexpr long connect_timeout_ms = 1000;
constexpr long max_cached_connections = 512;
constexpr int max_poll_ms = 1000;

/*! @brief Largest head of a response in bytes. libcurl limits its lines only.
 */
constexpr std::size_t max_head_bytes = 65'536;

/*! @brief Returned by a callback of libcurl to end the call. */
constexpr std::size_t end_call = 0;

/*! @brief State of a call that libcurl runs. */
struct transfer
{
    http_client::call_id id{0};
    http_call call;
    http_result end;
    http_client::done_callback done;
    http_client::data_callback data;
    std::function<void(int, std::string)> deliver;
    std::size_t head_bytes{0};
    bool interim_head{false};  /*!< The head that is read has a status 1xx. */
    bool head_complete{false}; /*!< The final response's head was read. */
    std::string
        own_fault; /*!< Why the call failed, if libcurl does not know. */
    curl_slist* header_lines{nullptr};
    CURL* handle{nullptr};
    time_point last_progress{}; /*!< Start of the call or time of the last
                                          received bytes. */

    /*! @brief Returns the longest time without received bytes that applies now;
     * zero for no limit. */
    [[nodiscard]] milliseconds stall_limit() const
    {
        return end.received == 0 ? call.answer_time : call.stall_time;
    }
};

std::size_t on_body(char* bytes, std::size_t, std::size_t count, void* user)
{
    auto& one = *static_cast<transfer*>(user);
    one.last_progress = event_loop::now();
    one.end.received += count;
    long status = 0;
    curl_easy_getinfo(one.handle, CURLINFO_RESPONSE_CODE, &status);
    if (one.deliver && status >= 200 && status < 300)
        one.deliver(static_cast<int>(status), std::string(bytes, count));
    else if (one.end.body.size() + count > one.call.max_body)
    {
        one.own_fault = "body of the response is too large";
        return end_call;
    }
    else
        one.end.body.append(bytes, count);
    return count;
}

/*! @brief Returns whether a field leaves no doubt of how the body of its
 * response is framed (RFC 9112 section 6.3). */
bool fits_framing(const transfer& one, const std::string& name,
                  const std::string& value)
{
    const std::string length = "content-length";
    const std::string coding = "transfer-encoding";
    const auto& headers = one.end.headers;
    if (name == length)
        return !headers.contains(coding) &&
               (!headers.contains(length) || headers.at(length) == value);
    if (name != coding)
        return true;
    return is_chunked(value) && !headers.contains(coding) &&
           !headers.contains(length);
}

std::size_t on_header(char* bytes, std::size_t, std::size_t count, void* user)
{
    auto& one = *static_cast<transfer*>(user);
    one.last_progress = event_loop::now();
    one.head_bytes += count;
    if (one.head_bytes > max_head_bytes)
    {
        one.own_fault = "head of the response is too large";
        return end_call;
    }
    const std::string line(bytes, count);
    if (line.starts_with("HTTP/"))
    {
        one.interim_head = line.find(" 1") == line.find(' ');
        return count;
    }
    if (line == "\r\n")
    {
        one.head_complete = !one.interim_head;
        return count;
    }
    // libcurl passes on what it can't read.
    if (!is_field_line(line))
    {
        one.own_fault = "field of the response is not valid";
        return end_call;
    }
    const auto colon = line.find(':');
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    const auto first = line.find_first_not_of(' ', colon + 1);
    const auto last = line.find_last_not_of("\r\n ");
    if (first == std::string::npos || last < first)
        return count;
    auto value = line.substr(first, last - first + 1);
    if (!one.head_complete && !fits_framing(one, name, value))
    {
        one.own_fault = "framing of the response is not valid";
        return end_call;
    }
    one.end.headers[name] = std::move(value);
    return count;
}

void prepare(transfer& one)
{
    one.handle = curl_easy_init();
    auto* handle = one.handle;
    curl_easy_setopt(handle, CURLOPT_URL, one.call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, one.call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    if (one.call.new_connection)
    {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    if (one.call.timeout.count() > 0)
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(one.call.timeout.count()));
    // Pistache never sends "100 Continue".
    one.header_lines = curl_slist_append(one.header_lines, "Expect:");
    for (const auto& [name, value] : one.call.headers)
    {
        auto line = name;
        line.append(": ").append(value);
        one.header_lines = curl_slist_append(one.header_lines, line.c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, one.header_lines);
    if (!one.call.body.empty() || one.call.method == "POST" ||
        one.call.method == "PUT")
    {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(one.call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, one.call.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &one);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &one);
}

/*! @brief Returns whether only the end of its connection delimits a response
 * (RFC 9112 section 6.3). */
bool is_unframed(const transfer& one)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const int status = one.end.status;
    const bool has_body = one.call.method != "HEAD" && status != no_content &&
                          status != not_modified;
    return has_body && !one.end.headers.contains("content-length") &&
           !one.end.headers.contains("transfer-encoding");
}

void record_outcome(transfer& one, CURLcode code)
{
    // libcurl takes a connection that closes within a head for the end of a
    // response without a body.
    if (code == CURLE_OK && !one.head_complete)
    {
        code = CURLE_PARTIAL_FILE;
        one.own_fault = "connection closed within the head";
    }
    long version = 0;
    curl_easy_getinfo(one.handle, CURLINFO_HTTP_VERSION, &version);
    curl_off_t uploaded = 0;
    curl_easy_getinfo(one.handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_off_t connected = 0;
    curl_easy_getinfo(one.handle, CURLINFO_CONNECT_TIME_T, &connected);
    one.end.connect_time = std::chrono::microseconds(connected);
    long status = 0;
    curl_easy_getinfo(one.handle, CURLINFO_RESPONSE_CODE, &status);
    one.end.status = static_cast<int>(status);
    if (code == CURLE_OK && !is_final_status(one.end.status))
    {
        code = CURLE_WEIRD_SERVER_REPLY;
        one.own_fault = "status of the response is not valid";
    }
    if (code == CURLE_OK && version == CURL_HTTP_VERSION_1_0 &&
        one.end.headers.contains("transfer-encoding"))
    {
        code = CURLE_WEIRD_SERVER_REPLY;
        one.own_fault = "chunks in a response of HTTP/1.0";
    }
    // The kernel reports a reset once. If the write took it, the end of the
    // connection does not show it.
    if (code == CURLE_OK && is_unframed(one) &&
        uploaded < static_cast<curl_off_t>(one.call.body.size()))
    {
        code = CURLE_PARTIAL_FILE;
        one.own_fault = "connection closed before the request was written";
    }
    if (code == CURLE_OK)
        one.end.reach = http_reach::answered;
    else if (code == CURLE_COULDNT_CONNECT ||
             code == CURLE_COULDNT_RESOLVE_HOST)
        one.end.reach = http_reach::not_sent;
    else
        one.end.reach = http_reach::interrupted;
    one.end.unframed = code == CURLE_OK && is_unframed(one);
    if (code != CURLE_OK)
        one.end.fault =
            one.own_fault.empty() ? curl_easy_strerror(code) : one.own_fault;
}

void release(transfer& one)
{
    curl_easy_cleanup(one.handle);
    curl_slist_free_all(one.header_lines);
}

struct curl_library
{
    curl_library() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

void initialize_curl()
{
    static const curl_library once;
}

} // namespace internal

struct http_client::implementation
    : std::enable_shared_from_this<http_client::implementation>
{
    explicit implementation(event_loop& target) : loop(target) {}

    /*! @brief Starts the thread at the first call, so that a process without
     * calls has no thread. */
    void ensure_started()
    {
        if (multi != nullptr)
            return;
        internal::initialize_curl();
        multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS,
                          internal::max_cached_connections);
        thread = std::thread([this] { run(); });
    }

    void run()
    {
        while (!stopping)
        {
            process_queues();
            int running = 0;
            curl_multi_perform(multi, &running);
            collect_finished();
            const auto wait = end_stalled_calls();
            curl_multi_poll(multi, nullptr, 0, static_cast<int>(wait.count()),
                            nullptr);
        }
    }

    /*! @brief Ends calls that received nothing for their `stall_limit`.
     * @return Time until the next such limit may expire, at most `max_poll_ms`.
     */
    milliseconds end_stalled_calls()
    {
        const auto now = event_loop::now();
        auto wait = milliseconds(internal::max_poll_ms);
        std::vector<call_id> stalled;
        for (const auto& [id, one] : active)
        {
            const auto stall_limit = one->stall_limit();
            if (stall_limit.count() == 0)
                continue;
            const auto left = std::chrono::ceil<milliseconds>(
                one->last_progress + stall_limit - now);
            if (left.count() <= 0)
                stalled.push_back(id);
            else
                wait = std::min(wait, left);
        }
        for (const auto id : stalled)
        {
            auto& one = *active.at(id);
            internal::record_outcome(one, CURLE_OPERATION_TIMEDOUT);
            finish(one);
            drop(id);
        }
        return wait;
    }

    void process_queues()
    {
        std::vector<std::unique_ptr<internal::transfer>> starting;
        std::vector<call_id> cancelled;
        {
            const std::lock_guard guard(mutex);
            starting.swap(to_start);
            cancelled.swap(to_cancel);
        }
        for (auto& one : starting)
        {
            internal::prepare(*one);
            one->last_progress = event_loop::now();
            curl_easy_setopt(one->handle, CURLOPT_PRIVATE, one.get());
            curl_multi_add_handle(multi, one->handle);
            const auto id = one->id;
            active.emplace(id, std::move(one));
        }
        for (const auto id : cancelled)
            drop(id);
    }

    void drop(call_id id)
    {
        const auto found = active.find(id);
        if (found == active.end())
            return;
        curl_multi_remove_handle(multi, found->second->handle);
        internal::release(*found->second);
        active.erase(found);
    }

    void collect_finished()
    {
        int left = 0;
        while (const auto* message = curl_multi_info_read(multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
                continue;
            char* user = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
            auto& one = *reinterpret_cast<internal::transfer*>(user);
            internal::record_outcome(one, message->data.result);
            finish(one);
            drop(one.id);
        }
    }

    void finish(internal::transfer& one)
    {
        loop.post(
            [self = shared_from_this(), id = one.id, done = std::move(one.done),
             end = std::move(one.end)]
            {
                if (self->open.erase(id) > 0)
                    done(end);
            });
    }

    event_loop& loop;
    CURLM* multi{nullptr};
    std::thread thread;
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<std::unique_ptr<internal::transfer>> to_start;
    std::vector<call_id> to_cancel;
    std::unordered_map<call_id, std::unique_ptr<internal::transfer>> active;
    std::unordered_set<call_id> open;
    call_id last_id{0};
};

http_client::http_client(event_loop& loop)
    : self(std::make_shared<implementation>(loop))
{
}

http_client::~http_client()
{
    if (self->multi == nullptr)
        return;
    self->stopping = true;
    curl_multi_wakeup(self->multi);
    self->thread.join();
    while (!self->active.empty())
        self->drop(self->active.begin()->first);
    curl_multi_cleanup(self->multi);
}

http_client::call_id http_client::start(http_call call, done_callback done,
                                        data_callback data)
{
    self->ensure_started();
    auto one = std::make_unique<internal::transfer>();
    const auto id = ++self->last_id;
    one->id = id;
    one->call = std::move(call);
    one->done = std::move(done);
    if (data)
    {
        one->deliver = [shared = self, id, data](int status, std::string bytes)
        {
            shared->loop.post(
                [shared, id, data, status, part = std::move(bytes)]() mutable
                {
                    if (shared->open.contains(id))
                        data(status, std::move(part));
                });
        };
    }
    self->open.insert(id);
    {
        const std::lock_guard guard(self->mutex);
        self->to_start.push_back(std::move(one));
    }
    curl_multi_wakeup(self->multi);
    return id;
}

void http_client::cancel(call_id which)
{
    if (self->open.erase(which) == 0)
        return;
    {
        const std::lock_guard guard(self->mutex);
        self->to_cancel.push_back(which);
    }
    curl_multi_wakeup(self->multi);
}

std::size_t http_client::size() const
{
    return self->open.size();
}

http_result perform(const http_call& call,
                    const http_client::data_callback& data)
{
    internal::initialize_curl();
    internal::transfer one;
    one.call = call;
    one.deliver = data;
    internal::prepare(one);
    internal::record_outcome(one, curl_easy_perform(one.handle));
    internal::release(one);
    return std::move(one.end);
}

} // namespace coursejunction
