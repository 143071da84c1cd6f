#include "platform/catalogue.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

namespace cj = coursejunction;
using cj::platform::catalogue;
using namespace std::chrono_literals;

namespace
{

const std::string configuration_text = R"({"version":7,
"routes":[
 {"name":"r1","hostname":"a.example","pathPrefix":"/x/","type":"streaming",
  "timeoutMs":6000,"targetLatencyMs":400,"priority":1,"service":"llm",
  "maxAttempts":2,"public":false,"sticky":true,"resumable":true,
  "targetItlMs":400},
 {"name":"r2","hostname":"b.example","pathPrefix":"/y/",
  "type":"non_idempotent","timeoutMs":1500.0,"targetLatencyMs":300,
  "trafficSplit":[{"service":"one","weight":90},{"service":"two","weight":10}],
  "maxAttempts":1,"public":true}],
"services":[
 {"name":"llm","healthPath":"/healthz","maxConnections":374,
  "backend":{"slots":16,"kvCapacity":1180000,"stride":5,
   "modelList":[{"name":"m","pace":1.0,"loadS":4.0,"warmupS":0.3}],
   "step_ms":8.87,"per_seq_ms":0.0388,"context_per_k":0.0227,
   "read_per_s":19100.0,"pairs_per_m":1.47,"chunk":2048,
   "usual":{"prompt":977,"answer":94},"layers":16,"blocks":64,
   "blockBytes":32768}},
 {"name":"weights","origin":"172.20.0.3:8006","zone":"z","linkMbps":9.9,
  "maxConnections":48}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1}]})";

} // namespace

SCENARIO("a configuration is decoded into the product's types", "[platform]")
{
    const auto read = catalogue::configuration(configuration_text);
    REQUIRE(read);
    const auto& rules = read.value();
    CHECK(rules.version == 7);
    REQUIRE(rules.routes.size() == 2);

    THEN("routes say what may be repeated")
    {
        const auto& stream = rules.routes[0];
        CHECK(stream.kind == cj::request_kind::stream);
        CHECK(stream.repeatable());
        CHECK(stream.timeout == 6000ms);
        CHECK(stream.max_attempts == 2);
        CHECK(rules.routes[1].kind == cj::request_kind::at_most_once);
        CHECK_FALSE(rules.routes[1].repeatable());
        CHECK(rules.routes[1].keyless);
        CHECK(rules.routes[1].services.size() == 2);
    }
    THEN("an engine's figures have their units")
    {
        const auto* llm = rules.service(cj::service_name("llm"));
        REQUIRE(llm != nullptr);
        REQUIRE(llm->engine);
        CHECK(llm->engine->prefill_tokens_per_ms == Approx(19.1));
        CHECK(llm->engine->typical_prompt_tokens == 977);
        CHECK(llm->engine->models == std::vector<std::string>{"m"});
        CHECK(llm->engine->load_seconds == Approx(0.3));
    }
    THEN("the origin is found with its rate in bytes")
    {
        REQUIRE(rules.origin() != nullptr);
        CHECK(rules.origin()->origin == "172.20.0.3:8006");
        CHECK(rules.origin()->origin_rate == Approx(9.9e6 / 8));
    }
    THEN("keys have their owner")
    {
        CHECK(rules.requires_key);
        CHECK(rules.owner("k2")->id.value() == "t1");
        CHECK(rules.owner("k3") == nullptr);
    }
}

SCENARIO("upstreams and versions are decoded", "[platform]")
{
    CHECK(catalogue::kind("op/config") == cj::item_kind::configuration);
    CHECK(catalogue::kind("op/version/m") == cj::item_kind::version);
    CHECK(catalogue::kind("servers/i-1") == cj::item_kind::upstream);
    CHECK(catalogue::kind("mine") == cj::item_kind::other);
    CHECK(catalogue::kind(cj::configuration_copy_key()) ==
          cj::item_kind::configuration_copy);
    CHECK(catalogue::order("op/config", configuration_text).count > 0);
    // Our own keys are compared by revisions, and do not stand without them.
    CHECK(catalogue::order(cj::configuration_copy_key(), configuration_text) ==
          cj::item_order{});
    CHECK_FALSE(catalogue::is_operator_key(cj::configuration_copy_key()));

    const auto one = catalogue::upstream(
        "servers/i-1",
        R"({"service":"llm","address":"10.0.0.9:80","zone":"z","version":"v1",
        "slots":16,"state":"draining","coldRemainingMs":5,
        "modelList":[{"name":"m","version":3,"loras":[]}],"sequence":4})");
    REQUIRE(one);
    CHECK(one.value().id.value() == "i-1");
    CHECK(one.value().leaving);
    CHECK(one.value().model_versions.at("m") == 3);
    CHECK(one.value().cold_start_ms == 5);
    CHECK(one.value().life.empty());

    const auto named = catalogue::version(R"({"modelId":"m","version":2})");
    REQUIRE(named);
    CHECK(named.value().model == "m");
    CHECK(named.value().version == 2);
}

SCENARIO("records of other writers name no upstream", "[platform]")
{
    const auto read = [](const nlohmann::json& from)
    { return catalogue::upstream("servers/i-1", from.dump()); };
    const auto whole = nlohmann::json::parse(
        R"({"service":"llm","address":"10.0.0.9:80","zone":"z","version":"v1",
        "slots":16,"state":"ready","coldRemainingMs":0.5,"phase":"colocated",
        "modelList":[{"name":"m","version":3,"loras":[]}],"sequence":4,
        "born":1764720000123})");
    REQUIRE(read(whole));
    CHECK(read(whole).value().life.value() == 1764720000123);

    THEN("a field that is missing")
    {
        for (const auto* name :
             {"service", "address", "zone", "version", "slots", "state",
              "coldRemainingMs", "sequence"})
        {
            auto other = whole;
            other.erase(name);
            INFO(name);
            CHECK_FALSE(read(other));
        }
    }
    THEN("a field of another type")
    {
        for (const auto& [name, value] : whole.items())
        {
            if (name == "phase")
                continue;
            for (const auto& wrong :
                 {nlohmann::json(nullptr), nlohmann::json(true),
                  nlohmann::json(-1), nlohmann::json::object({{"a", 1}}),
                  nlohmann::json::array({5})})
            {
                auto other = whole;
                other[name] = wrong;
                INFO(name << " as " << wrong);
                CHECK_FALSE(read(other));
            }
        }
    }
    THEN("a life that is a fraction, or text")
    {
        for (const auto& wrong :
             {nlohmann::json(1764720000123.5), nlohmann::json("1764720000123")})
        {
            auto other = whole;
            other["born"] = wrong;
            CHECK_FALSE(read(other));
        }
    }
    THEN("figures, words and addresses that cannot be")
    {
        const std::vector<std::pair<const char*, nlohmann::json>> wrong{
            {"state", "asleep"},
            {"slots", 0},
            {"slots", 5000000000000ULL},
            {"address", "10.0.0.9"},
            {"address", "nowhere:80"},
            {"address", "10.0.0.9:0"},
            {"address", "10.0.0.9:99999"},
            {"service", ""},
            {"modelList", {{{"name", 5}, {"version", 1}}}}};
        for (const auto& [name, value] : wrong)
        {
            auto other = whole;
            other[name] = value;
            INFO(name << " as " << value);
            CHECK_FALSE(read(other));
        }
    }
    THEN("a time that no whole number holds")
    {
        auto from = whole;
        from["coldRemainingMs"] = 1e300;
        CHECK_FALSE(read(from));
    }
    THEN("no id, and megabytes")
    {
        CHECK_FALSE(catalogue::upstream("servers/", whole.dump()));
        auto other = whole;
        other["more"] = std::string(1 << 20, 'x');
        CHECK_FALSE(read(other));
    }
    rc::prop("bytes of a whole record that are changed never crash a reader",
             [&]
             {
                 auto text = whole.dump();
                 const auto times = *rc::gen::inRange(1, 6);
                 for (int time = 0; time < times; ++time)
                     text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                         *rc::gen::arbitrary<char>();
                 const auto made = catalogue::upstream("servers/i-1", text);
                 if (made)
                     RC_ASSERT(made.value().slots > 0 &&
                               !made.value().service.empty());
             });
}

SCENARIO("items that cannot be read are errors, not crashes", "[platform]")
{
    CHECK_FALSE(catalogue::configuration("nonsense"));
    CHECK_FALSE(catalogue::configuration("[]"));
    CHECK_FALSE(catalogue::configuration(R"({"version":1})"));
    CHECK_FALSE(catalogue::configuration(
        R"({"version":"x","routes":[],"services":[]})"));
    CHECK_FALSE(catalogue::upstream("servers/i", R"({"service":5})"));
    rc::prop("hostile bytes",
             []
             {
                 const auto cut = *rc::gen::inRange<std::size_t>(
                     0, configuration_text.size());
                 auto text = configuration_text.substr(0, cut);
                 text += *rc::gen::arbitrary<std::string>();
                 static_cast<void>(catalogue::configuration(text));
                 static_cast<void>(catalogue::upstream("servers/i", text));
                 static_cast<void>(catalogue::version(text));
             });
}
