/*! @file
 * @brief Load generator of the benches: streams many requests at once over
 * plain sockets from one thread and judges every answer.
 *
 * Closed loop (`--streams N`): N requests are always open. Open loop
 * (`--rate R`): requests start at random times (exponential gaps) for
 * `--seconds`. Prints one line of JSON.
 */
#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using clock_type = std::chrono::steady_clock;
using nlohmann::json;

struct options
{
    std::vector<std::uint16_t> ports;
    std::string path;
    std::string model;
    std::size_t streams{0};
    double rate{0};
    double seconds{5};
    double ramp{0}; /*!< Seconds over which streams start; not judged for
                         first tokens. */
    std::size_t tokens{16};
    std::size_t prompt{64};
    std::size_t prompts{0}; /*!< Distinct long prefixes; 0 for all alike. */
    long deadline_ms{0};
    std::vector<double> shares; /*!< Of organisations in the load. */
};

struct totals
{
    std::size_t started{0};
    std::size_t whole{0};
    std::size_t refused{0};
    std::size_t unknown{0};
    std::size_t cut{0};
    std::size_t wrong_caller{0};
    std::size_t mixed{0};
    std::size_t in_time{0};
    std::size_t tokens{0};
    double slowest_refusal{0};
    std::vector<double> first;
    std::vector<double> whole_s;
    std::map<std::string, std::size_t> whole_by_organisation;
};

double seconds_since(clock_type::time_point from)
{
    return std::chrono::duration<double>(clock_type::now() - from).count();
}

/*! @brief One request over a connection of its own. */
class request : public std::enable_shared_from_this<request>
{
public:
    request(asio::io_context& context, const options& from, totals& into,
            std::size_t turn, std::string who, bool after_ramp,
            std::function<void()> ended)
        : socket(context), set(from), sum(into), number(turn),
          organisation(std::move(who)), settled(after_ramp),
          done(std::move(ended))
    {
    }

    void start()
    {
        ++sum.started;
        began = clock_type::now();
        const auto port = set.ports[number % set.ports.size()];
        socket.async_connect(
            {asio::ip::make_address("127.0.0.1"), port},
            [self = shared_from_this()](const boost::system::error_code& fault)
            {
                if (fault)
                    return self->end();
                self->socket.set_option(tcp::no_delay(true));
                self->send();
            });
    }

private:
    void send()
    {
        std::string prompt;
        if (set.prompts > 0)
        {
            std::mt19937 random(static_cast<unsigned>(number % set.prompts));
            while (prompt.size() < set.prompt)
                prompt.push_back(static_cast<char>('a' + random() % 26));
        }
        else
        {
            prompt.assign(set.prompt, 'x');
        }
        id = "load-" + std::to_string(number);
        const auto body = json{
            {"model", set.model},
            {"prompt", prompt},
            {"max_tokens", set.tokens},
            {"stream", true}}.dump();
        out = "POST " + set.path +
              " HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n"
              "Request-Id: " +
              id + "\r\nOrganisation: " + organisation + "\r\n";
        if (set.deadline_ms > 0)
            out += "Deadline-Ms: " + std::to_string(set.deadline_ms) + "\r\n";
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
        asio::async_write(
            socket, asio::buffer(out),
            [self = shared_from_this()](const boost::system::error_code& fault,
                                        std::size_t)
            {
                if (fault)
                    return self->end();
                self->read();
            });
    }

    void read()
    {
        socket.async_read_some(
            asio::buffer(input),
            [self = shared_from_this()](const boost::system::error_code& fault,
                                        std::size_t count)
            {
                if (fault)
                    return self->end();
                self->take({self->input.data(), count});
            });
    }

    void take(std::string_view bytes)
    {
        text.append(bytes);
        if (first == 0 && text.find("data: {") != std::string::npos)
            first = seconds_since(began);
        const auto head = text.find("\r\n\r\n");
        if (head == std::string::npos)
            return read();
        const bool chunked = text.find("Transfer-Encoding: chunked") < head;
        if (chunked && text.ends_with("\r\n0\r\n\r\n"))
            return end();
        if (!chunked)
        {
            const auto at = text.find("Content-Length: ");
            const auto size =
                at == std::string::npos ? 0 : std::atoi(&text[at + 16]);
            if (text.size() >= head + 4 + static_cast<std::size_t>(size))
                return end();
        }
        read();
    }

    std::size_t occurrences(std::string_view what) const
    {
        std::size_t count = 0;
        for (auto at = text.find(what); at != std::string::npos;
             at = text.find(what, at + what.size()))
            ++count;
        return count;
    }

    void end()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
        judge();
        done();
    }

    void judge()
    {
        const auto took = seconds_since(began);
        const auto events = occurrences("data: {");
        const auto own = occurrences("\"id\":\"" + id + "\"");
        sum.tokens += events;
        if (own != events)
            ++sum.wrong_caller;
        const bool ok = text.rfind("HTTP/1.1 200", 0) == 0;
        // Called directly, the engine ends with [DONE] and no outcome.
        const bool ended = text.ends_with("\r\n0\r\n\r\n") &&
                           text.find("data: [DONE]") != std::string::npos;
        if (ok && ended && events == set.tokens)
            return whole(took);
        if (text.find("Outcome: not_run") != std::string::npos)
        {
            ++sum.refused;
            sum.slowest_refusal = std::max(sum.slowest_refusal, took);
        }
        else if (text.find("Outcome: unknown") != std::string::npos)
            ++sum.unknown;
        else
            ++sum.cut;
    }

    void whole(double took)
    {
        ++sum.whole;
        if (settled)
            sum.first.push_back(first);
        sum.whole_s.push_back(took);
        ++sum.whole_by_organisation[organisation];
        if (set.deadline_ms == 0 ||
            took * 1000 <= static_cast<double>(set.deadline_ms))
            ++sum.in_time;
        const auto at = text.find("\"weights\":\"");
        const auto weights = text.substr(at, 75);
        if (occurrences(weights) != set.tokens)
            ++sum.mixed;
    }

    tcp::socket socket;
    const options& set;
    totals& sum;
    std::size_t number;
    std::string organisation;
    bool settled;
    std::function<void()> done;
    std::string id;
    std::string out;
    std::string text;
    std::array<char, 16384> input{};
    clock_type::time_point began;
    double first{0};
};

double percentile(std::vector<double> values, double portion)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at =
        static_cast<std::size_t>(portion * static_cast<double>(values.size()));
    return values[std::min(at, values.size() - 1)];
}

/*! @brief Starts requests and counts them. */
class load
{
public:
    explicit load(options from) : set(std::move(from)), timer(context) {}

    json run()
    {
        began = clock_type::now();
        if (set.rate > 0)
            next();
        else
            ramp_up();
        context.run();
        return report();
    }

private:
    bool over() const { return seconds_since(began) >= set.seconds; }

    std::string organisation()
    {
        if (set.shares.empty())
            return "school";
        std::discrete_distribution<std::size_t> pick(set.shares.begin(),
                                                     set.shares.end());
        return "organisation-" + std::to_string(pick(random));
    }

    void start()
    {
        const auto turn = ++turns;
        std::make_shared<request>(context, set, sum, turn, organisation(),
                                  seconds_since(began) >= set.ramp,
                                  [this]
                                  {
                                      if (set.rate <= 0 && !over())
                                          start();
                                  })
            ->start();
    }

    /*! @brief Starts the streams evenly over the ramp. */
    void ramp_up()
    {
        if (ramped == set.streams)
            return;
        ++ramped;
        start();
        timer.expires_at(began +
                         std::chrono::duration_cast<clock_type::duration>(
                             std::chrono::duration<double>(
                                 set.ramp * static_cast<double>(ramped) /
                                 static_cast<double>(set.streams))));
        timer.async_wait([this](const boost::system::error_code&)
                         { ramp_up(); });
    }

    void next()
    {
        if (over())
            return;
        std::exponential_distribution<double> gap(set.rate);
        due += std::chrono::duration_cast<clock_type::duration>(
            std::chrono::duration<double>(gap(random)));
        timer.expires_at(began + due);
        timer.async_wait(
            [this](const boost::system::error_code&)
            {
                start();
                next();
            });
    }

    json report()
    {
        const auto took = seconds_since(began);
        json fair = json::object();
        for (const auto& [who, count] : sum.whole_by_organisation)
            fair[who] = count;
        return {{"started", sum.started},
                {"whole", sum.whole},
                {"in_time", sum.in_time},
                {"refused", sum.refused},
                {"unknown", sum.unknown},
                {"cut", sum.cut},
                {"wrong_caller", sum.wrong_caller},
                {"mixed", sum.mixed},
                {"tokens", sum.tokens},
                {"seconds", took},
                {"first_p50_s", percentile(sum.first, 0.5)},
                {"first_p95_s", percentile(sum.first, 0.95)},
                {"whole_p95_s", percentile(sum.whole_s, 0.95)},
                {"slowest_refusal_s", sum.slowest_refusal},
                {"by_organisation", fair}};
    }

    options set;
    asio::io_context context{1};
    asio::steady_timer timer;
    totals sum;
    std::mt19937 random{7};
    std::size_t turns{0};
    std::size_t ramped{0};
    clock_type::time_point began;
    clock_type::duration due{0};
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options_set("loadgen", "load generator of the benches");
    options_set.add_options()("ports", "ports on loopback",
                              cxxopts::value<std::vector<std::uint16_t>>())(
        "path", "path",
        cxxopts::value<std::string>()->default_value("/v1/completions"))(
        "model", "model",
        cxxopts::value<std::string>()->default_value("tutor"))(
        "streams", "requests always open",
        cxxopts::value<std::size_t>()->default_value("0"))(
        "rate", "requests a second",
        cxxopts::value<double>()->default_value("0"))(
        "seconds", "how long requests are started",
        cxxopts::value<double>()->default_value("5"))(
        "ramp", "seconds over which streams start",
        cxxopts::value<double>()->default_value("0"))(
        "tokens", "tokens of an answer",
        cxxopts::value<std::size_t>()->default_value("16"))(
        "prompt", "bytes of a prompt",
        cxxopts::value<std::size_t>()->default_value("64"))(
        "prompts", "distinct prompts",
        cxxopts::value<std::size_t>()->default_value("0"))(
        "deadline-ms", "deadline of a request",
        cxxopts::value<long>()->default_value("0"))(
        "shares", "load of each organisation",
        cxxopts::value<std::vector<double>>());
    const auto parsed = options_set.parse(argc, argv);
    options set;
    set.ports = parsed["ports"].as<std::vector<std::uint16_t>>();
    set.path = parsed["path"].as<std::string>();
    set.model = parsed["model"].as<std::string>();
    set.streams = parsed["streams"].as<std::size_t>();
    set.rate = parsed["rate"].as<double>();
    set.seconds = parsed["seconds"].as<double>();
    set.ramp = parsed["ramp"].as<double>();
    set.tokens = parsed["tokens"].as<std::size_t>();
    set.prompt = parsed["prompt"].as<std::size_t>();
    set.prompts = parsed["prompts"].as<std::size_t>();
    set.deadline_ms = parsed["deadline-ms"].as<long>();
    if (parsed.count("shares") > 0)
        set.shares = parsed["shares"].as<std::vector<double>>();
    std::cout << load(std::move(set)).run().dump() << std::endl;
    return 0;
}
