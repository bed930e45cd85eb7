#include "standin/store_fault_json.hpp"

#include "core/failure.hpp"

#include <map>
#include <nlohmann/json.hpp>

namespace dragonflyroad::standin {
namespace {

const std::map<std::string, store_mode> modes{{"up", store_mode::up},
                                              {"down", store_mode::down},
                                              {"slow", store_mode::slow},
                                              {"lose_replies", store_mode::lose_replies},
                                              {"stale", store_mode::stale}};

std::nullopt_t reject(const std::string& detail)
{
    return fail("store_fault", "request", detail);
}

} // namespace

std::optional<store_fault> parse_store_fault(const std::string& body)
{
    const nlohmann::json request = nlohmann::json::parse(body, nullptr, false);
    if (!request.is_object()) {
        return reject("the body is not a JSON object");
    }
    store_fault fault;
    for (const auto& [key, value] : request.items()) {
        if (key == "mode" && value.is_string() && modes.contains(value.get<std::string>())) {
            fault.mode = modes.at(value.get<std::string>());
        }
        else if (key == "delay_ms" && value.is_number_unsigned() &&
                 value.get<std::uint64_t>() <= 3'600'000) {
            fault.delay = std::chrono::milliseconds{value.get<std::int64_t>()};
        }
        else if (key == "count" && value.is_number_unsigned() && value.get<std::uint64_t>() > 0) {
            fault.count = value.get<std::uint64_t>();
        }
        else {
            return reject("field " + key + " is unknown or has an invalid value");
        }
    }
    return fault;
}

} // namespace dragonflyroad::standin
