#include "coursejunction/net/metrics.hpp"

#include <utility>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace coursejunction
{

namespace internal
{

const prometheus::Histogram::BucketBoundaries second_bounds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,   0.46,  1.0,   2.0,  5.0,  10.0, 30.0};

using metric_key = std::pair<std::string, metrics::labels>;

} // namespace internal

struct metrics::implementation
{
    prometheus::Registry registry;
    std::map<internal::metric_key, prometheus::Counter*> counters;
    std::map<internal::metric_key, prometheus::Gauge*> gauges;
    std::map<internal::metric_key, prometheus::Histogram*> histograms;
};

metrics::metrics() : self(std::make_unique<implementation>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string& name, double amount, const labels& with)
{
    auto& found = self->counters[{name, with}];
    if (found == nullptr)
        found = &prometheus::BuildCounter()
                     .Name("coursejunction_" + name)
                     .Register(self->registry)
                     .Add(with);
    found->Increment(amount);
}

void metrics::set(const std::string& name, double value, const labels& with)
{
    auto& found = self->gauges[{name, with}];
    if (found == nullptr)
        found = &prometheus::BuildGauge()
                     .Name("coursejunction_" + name)
                     .Register(self->registry)
                     .Add(with);
    found->Set(value);
}

void metrics::observe(const std::string& name, double seconds,
                      const labels& with)
{
    auto& found = self->histograms[{name, with}];
    if (found == nullptr)
        found = &prometheus::BuildHistogram()
                     .Name("coursejunction_" + name)
                     .Register(self->registry)
                     .Add(with, internal::second_bounds);
    found->Observe(seconds);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(self->registry.Collect());
}

} // namespace coursejunction
