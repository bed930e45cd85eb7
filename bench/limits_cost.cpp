#include "bench/record.hpp"
#include "limits/node_quota.hpp"

#include <array>
#include <chrono>
#include <string>
#include <vector>

namespace dragonflyroad::bench {
namespace {

constexpr std::array<std::size_t, 3> sizes{8, 10'000, 1'000'000};

std::vector<organisation> make_organisations(std::size_t count)
{
    std::vector<organisation> entries;
    entries.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        entries.push_back({organisation_id{"org-" + std::to_string(index)}, 1e6, 1e6, 1});
    }
    return entries;
}

record make_record(std::size_t count, const char* measure, double value, const char* unit)
{
    record entry;
    entry.bench = "limits_cost";
    entry.deployment = "target";
    entry.measure = std::string(measure) + "_" + std::to_string(count) + "_organisations";
    entry.value = value;
    entry.unit = unit;
    entry.kind = bound_kind::none;
    return entry;
}

std::vector<record> measure_size(std::size_t count)
{
    using namespace std::chrono_literals;
    using wall_clock = std::chrono::steady_clock;
    const std::vector<organisation> entries = make_organisations(count);
    node_quota quota({node_id{"node"}, 1});
    time_point now{1h};
    quota.set_units(total_units, now);
    quota.set_fence(now + 100h);
    now += 10s;
    for (const organisation& entry : entries) {
        quota.admit(entry, now);
    }
    const double bytes = static_cast<double>(quota.memory()) / static_cast<double>(count);
    constexpr std::size_t decisions = 1'000'000;
    // A stride coprime to the sizes visits organisations in an order that defeats CPU prefetching.
    constexpr std::size_t stride = 7919;
    std::size_t place = 0;
    const auto start = wall_clock::now();
    for (std::size_t index = 0; index < decisions; ++index) {
        now += 1us;
        place = (place + stride) % count;
        quota.admit(entries[place], now);
    }
    const std::chrono::duration<double, std::nano> elapsed = wall_clock::now() - start;
    return {make_record(count, "admission_time", elapsed.count() / decisions, "ns"),
            make_record(count, "bytes_per_organisation", bytes, "bytes")};
}

// Time of a rate decision on the request path, and memory per recently seen organisation, for 8 to
// 1,000,000 organisations.
const registration limits_cost{{"limits_cost", true, [](std::uint64_t) {
                                    std::vector<record> records;
                                    for (const std::size_t count : sizes) {
                                        for (const record& entry : measure_size(count)) {
                                            records.push_back(entry);
                                        }
                                    }
                                    return records;
                                }}};

} // namespace
} // namespace dragonflyroad::bench
