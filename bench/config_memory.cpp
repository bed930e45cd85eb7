#include "bench/allocated_bytes.hpp"
#include "bench/capacity.hpp"
#include "bench/record.hpp"
#include "config/codec.hpp"
#include "config/object.hpp"
#include "config/snapshot_codec.hpp"
#include "core/digest.hpp"

#include <fmt/format.h>

namespace dragonflyroad::bench {
namespace {

constexpr std::size_t target_routes = 64'000;

void add_organisation(configuration& config, std::size_t number)
{
    const organisation_id id{fmt::format("org{:07}", number)};
    config.organisations.insert_or_assign(
        id, organisation{id, 100.0 + static_cast<double>(number % 7), 20, 1});
}

void add_key(configuration& config, std::size_t number)
{
    const organisation_id id{fmt::format("org{:07}", number)};
    const std::string digest = sha256_hex(fmt::format("key {}", number));
    config.keys.insert_or_assign(digest, key_record{digest, id, key_state::granted});
}

void add_route(configuration& config, std::size_t number)
{
    put_object(config, route{route_name{fmt::format("route{:06}", number)},
                             fmt::format("/services/{}/{}", number % 5'000, number),
                             service_name{fmt::format("service{:04}", number % 5'000)},
                             {}});
}

double bytes_each(void (*add)(configuration&, std::size_t), std::size_t count)
{
    const std::size_t before = allocated_bytes();
    configuration config;
    for (std::size_t number = 0; number < count; ++number) {
        add(config, number);
    }
    return static_cast<double>(allocated_bytes() - before) / static_cast<double>(count);
}

double snapshot_bytes(const configuration& config)
{
    std::size_t bytes = 0;
    encode_snapshot(config, 256'000,
                    [&bytes](const snapshot_part& part) { bytes += part.text.size(); });
    return static_cast<double>(bytes);
}

record unbounded_record(const std::string& measure, double value, const char* unit,
                        std::uint64_t seed)
{
    return {"config_memory", "target", measure, value, unit, 0, bound_kind::none, seed};
}

/// Measures the memory of the configuration at the target scale. The bound of 256 MB is the memory
/// of a node, so a result near it leaves no room for all other state.
std::vector<record> run(std::uint64_t seed)
{
    const double megabyte = 1024.0 * 1024.0;
    std::vector<record> records;
    const std::size_t before = allocated_bytes();
    configuration config;
    for (std::size_t number = 0; number < 1'000'000; ++number) {
        add_organisation(config, number);
        add_key(config, number);
    }
    for (std::size_t number = 0; number < target_routes; ++number) {
        add_route(config, number);
    }
    const std::size_t full = allocated_bytes();
    records.push_back({"config_memory", "target", "configuration",
                       static_cast<double>(full - before) / megabyte, "MB", 256,
                       bound_kind::at_most, seed});
    configuration next = config;
    add_key(next, 1'000'001);
    records.push_back(unbounded_record(
        "next_revision", static_cast<double>(allocated_bytes() - full) / megabyte, "MB", seed));
    records.push_back(
        unbounded_record("snapshot_text", snapshot_bytes(config) / megabyte, "MB", seed));
    return records;
}

const registration entry{{"config_memory", false, run}};

} // namespace

std::vector<record> config_slopes(std::uint64_t seed)
{
    std::vector<record> records;
    const auto measure_kind = [&](const char* kind, void (*add)(configuration&, std::size_t),
                                  std::size_t count) {
        records.push_back(unbounded_record(fmt::format("bytes_per_{}_{}", kind, count),
                                           bytes_each(add, count), "B", seed));
    };
    for (const std::size_t count : {10'000U, 100'000U, 1'000'000U}) {
        measure_kind("organisation", add_organisation, count);
        measure_kind("key", add_key, count);
    }
    for (const std::size_t count : {std::size_t{4'000}, std::size_t{16'000}, target_routes}) {
        measure_kind("route", add_route, count);
    }
    return records;
}

} // namespace dragonflyroad::bench
