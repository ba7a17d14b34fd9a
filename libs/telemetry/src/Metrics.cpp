#include "telemetry/Telemetry.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace citronspoke::telemetry {

namespace {

    // Upper bounds in seconds; they include the latency bounds of the users, 64 ms and 0.7 s.
    const prometheus::Histogram::BucketBoundaries LatencyBuckets { 0.0005, 0.001, 0.002, 0.004,
        0.008, 0.016, 0.032, 0.064, 0.128, 0.25, 0.5, 0.7, 1, 2, 4, 8, 16, 32 };

    prometheus::Registry& registry()
    {
        static prometheus::Registry instance;
        return instance;
    }

    prometheus::Labels labelsOf(Fields fields)
    {
        prometheus::Labels labels;
        for (const Field& field : fields)
            labels.emplace(field.key, field.value);
        return labels;
    }

    std::string metricName(std::string_view name, std::string_view suffix)
    {
        std::string full = "citronspoke_";
        return full.append(name).append(suffix);
    }

} // namespace

void count(std::string_view name, Fields labels, double amount)
{
    prometheus::BuildCounter()
        .Name(metricName(name, "_total"))
        .Register(registry())
        .Add(labelsOf(labels))
        .Increment(amount);
}

void gauge(std::string_view name, double value, Fields labels)
{
    prometheus::BuildGauge()
        .Name(metricName(name, ""))
        .Register(registry())
        .Add(labelsOf(labels))
        .Set(value);
}

void observe(std::string_view name, std::chrono::duration<double> duration, Fields labels)
{
    prometheus::BuildHistogram()
        .Name(metricName(name, "_seconds"))
        .Register(registry())
        .Add(labelsOf(labels), LatencyBuckets)
        .Observe(duration.count());
}

std::string metricsText() { return prometheus::TextSerializer().Serialize(registry().Collect()); }

} // namespace citronspoke::telemetry
