#include "adapters/metrics.hpp"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace dragonflyroad {
namespace {

namespace bh = boost::histogram;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;
using atomic_count = bh::accumulators::thread_safe<std::uint64_t>;

/// Logarithmic bins from 50 microseconds to 26 seconds, each 1.39 times as wide as the previous
/// one.
auto make_histogram()
{
    return bh::make_histogram_with(bh::dense_storage<atomic_count>{},
                                   latency_axis{40, 50e-6, 26.0, "seconds"});
}

struct latency_record {
    decltype(make_histogram()) bins = make_histogram();
    std::atomic<std::uint64_t> total_ns = 0;

    void record(duration elapsed)
    {
        this->bins(std::chrono::duration<double>(elapsed).count());
        this->total_ns += static_cast<std::uint64_t>(std::max<std::int64_t>(elapsed.count(), 0));
    }
};

void write_type(std::string& text, std::string_view name, std::string_view kind)
{
    text += fmt::format("# TYPE dragonflyroad_{} {}\n", name, kind);
}

void write_histogram(std::string& text, std::string_view name, const latency_record& record)
{
    write_type(text, name, "histogram");
    std::uint64_t cumulative = 0;
    for (auto&& bin : bh::indexed(record.bins, bh::coverage::all)) {
        cumulative += (*bin).load();
        if (bin.bin().upper() < 27.0) {
            text += fmt::format("dragonflyroad_{}_bucket{{le=\"{:.6g}\"}} {}\n", name,
                                bin.bin().upper(), cumulative);
        }
    }
    text += fmt::format("dragonflyroad_{}_bucket{{le=\"+Inf\"}} {}\n", name, cumulative);
    text += fmt::format("dragonflyroad_{}_sum {}\n", name,
                        static_cast<double>(record.total_ns.load()) * 1e-9);
    text += fmt::format("dragonflyroad_{}_count {}\n", name, cumulative);
}

} // namespace

struct metrics::histograms {
    latency_record total;
    latency_record proxy_added;
};

metrics::metrics() : latencies(std::make_unique<histograms>()) {}
metrics::~metrics() = default;

void metrics::count_response(int status)
{
    const auto status_class = static_cast<std::size_t>(std::clamp(status / 100, 0, 5));
    ++this->responses.at(status_class);
}

void metrics::count_refusal(refusal_reason reason)
{
    ++this->refusals.at(static_cast<std::size_t>(reason));
}

void metrics::count_retry(retry_reason reason)
{
    ++this->retries.at(static_cast<std::size_t>(reason));
}

void metrics::record_latency(duration elapsed)
{
    this->latencies->total.record(elapsed);
}

void metrics::record_added_latency(duration elapsed)
{
    this->latencies->proxy_added.record(elapsed);
}

void metrics::add_metric_callback(std::string name, std::string kind, std::function<double()> read)
{
    const std::scoped_lock lock{this->callback_mutex};
    this->callback_metrics.push_back({std::move(name), std::move(kind), std::move(read)});
}

std::uint64_t metrics::refused(refusal_reason reason) const
{
    return this->refusals.at(static_cast<std::size_t>(reason));
}

std::uint64_t metrics::retried(retry_reason reason) const
{
    return this->retries.at(static_cast<std::size_t>(reason));
}

std::string metrics::to_prometheus() const
{
    std::string text;
    write_type(text, "requests_total", "counter");
    text += fmt::format("dragonflyroad_requests_total {}\n", this->requests.load());
    write_type(text, "answers_total", "counter");
    for (std::size_t index = 1; index < this->responses.size(); ++index) {
        text += fmt::format("dragonflyroad_answers_total{{status=\"{}xx\"}} {}\n", index,
                            this->responses[index].load());
    }
    write_type(text, "refusals_total", "counter");
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        const auto& description = describe(static_cast<refusal_reason>(index));
        text += fmt::format("dragonflyroad_refusals_total{{reason=\"{}\",decided_by=\"{}\"}} {}\n",
                            description.code, to_code(description.decided_by),
                            this->refusals[index].load());
    }
    write_type(text, "retries_total", "counter");
    for (std::size_t index = 0; index < retry_reason_count; ++index) {
        text += fmt::format("dragonflyroad_retries_total{{reason=\"{}\"}} {}\n",
                            to_code(static_cast<retry_reason>(index)), this->retries[index].load());
    }
    write_type(text, "cut_answers_total", "counter");
    text += fmt::format("dragonflyroad_cut_answers_total {}\n", this->truncated_responses.load());
    write_type(text, "lost_clients_total", "counter");
    text += fmt::format("dragonflyroad_lost_clients_total {}\n", this->client_disconnects.load());
    write_histogram(text, "request_seconds", this->latencies->total);
    write_histogram(text, "added_seconds", this->latencies->proxy_added);
    const std::scoped_lock lock{this->callback_mutex};
    for (const callback_metric& entry : this->callback_metrics) {
        write_type(text, entry.name, entry.kind);
        text += fmt::format("dragonflyroad_{} {}\n", entry.name, entry.read());
    }
    return text;
}

} // namespace dragonflyroad
