#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "net/running_server.hpp"
#include "proxy/entry_on_loopback.hpp"

namespace cj = coursejunction;
using namespace std::chrono_literals;
using proxy_test::entry_on_loopback;

namespace
{

/*! @brief An upstream that sends a part of each response and never the rest. */
class unfinished_upstream
{
public:
    explicit unfinished_upstream(std::size_t bytes)
        : part(bytes, 'x'),
          served(
              [this](const cj::stream_request&, cj::stream_reply reply)
              {
                  cj::header_list headers;
                  headers.push_back("Id", "7");
                  reply.begin(200, headers);
                  reply.write(part);
                  replies.push_back(std::move(reply));
              })
    {
    }

private:
    std::string part;
    std::vector<cj::stream_reply> replies;

public:
    loopback::running_server served;
};

} // namespace

// Each response stayed within its own limit, and their sum had none.
SCENARIO("incomplete responses together are kept up to a limit only", "[proxy]")
{
    constexpr std::size_t part = std::size_t{7} << 19U;
    static_assert(part < cj::back_pressure::max_kept_bytes);
    constexpr auto fitting = cj::back_pressure::max_kept_in_total / part;
    constexpr std::size_t asked = fitting + 3;

    entry_on_loopback entry;
    entry.configure_route(cj::request_kind::at_most_once, false, 4000ms);
    std::vector<std::unique_ptr<unfinished_upstream>> upstreams;
    for (std::size_t at = 0; at < asked; ++at)
    {
        upstreams.push_back(std::make_unique<unfinished_upstream>(part));
        entry.add_upstream(std::to_string(at),
                           upstreams.back()->served.address);
    }
    std::vector<std::string> answers(asked);
    std::vector<std::jthread> callers;
    callers.reserve(asked);
    for (auto& answer : answers)
        callers.emplace_back([&] { answer = entry.ask(); });
    callers.clear();
    const auto count = [&](const std::string& status)
    {
        return std::count_if(answers.begin(), answers.end(),
                             [&](const std::string& answer)
                             { return answer.starts_with(status); });
    };
    CHECK(count("HTTP/1.1 502") ==
          static_cast<std::ptrdiff_t>(asked - fitting));
    CHECK(count("HTTP/1.1 504") == static_cast<std::ptrdiff_t>(fitting));
}
