#include "standin/upstream_fault.hpp"

#include "core/failure.hpp"

#include <array>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad::standin {
namespace {

constexpr std::array<std::pair<std::string_view, fault_mode>, 8> modes{{
    {"none", fault_mode::none},
    {"stall", fault_mode::stall},
    {"slow", fault_mode::slow},
    {"slow_share", fault_mode::slow_share},
    {"flap", fault_mode::flap},
    {"crash", fault_mode::crash},
    {"silent_connections", fault_mode::silent_connections},
    {"shed", fault_mode::shed},
}};

std::optional<fault_mode> parse_fault_mode(std::string_view name)
{
    for (const auto& [known, mode] : modes) {
        if (known == name) {
            return mode;
        }
    }
    return fail("parse fault", "standin-upstream", "unknown mode " + std::string{name});
}

} // namespace

std::optional<upstream_fault> parse_fault(const std::string& json)
{
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_object() || !document.contains("mode") || !document["mode"].is_string()) {
        return fail("parse fault", "standin-upstream", "expected an object with a mode");
    }
    const auto mode = parse_fault_mode(document["mode"].get<std::string>());
    if (!mode) {
        return std::nullopt;
    }
    upstream_fault fault;
    fault.mode = *mode;
    try {
        fault.factor = document.value("factor", fault.factor);
        fault.share = document.value("share", fault.share);
        fault.period = std::chrono::milliseconds{document.value("period_ms", fault.period.count())};
        fault.match = document.value("match", fault.match);
    }
    catch (const nlohmann::json::exception& error) {
        return fail("parse fault", "standin-upstream", error.what());
    }
    return fault;
}

} // namespace dragonflyroad::standin
