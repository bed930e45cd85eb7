#include "mesh/request_headers.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

namespace dragonflyroad {

http_headers forwarded_headers(const http_headers& received, const header_names& names,
                               const forwarded_identity& identity)
{
    http_headers headers = end_to_end_headers(received);
    const std::array<std::string_view, 5> fleet_headers{names.key, names.organisation,
                                                        names.caller_service,
                                                        names.expected_upstream, names.deadline};
    std::erase_if(headers, [&](const http_header& header) {
        return std::ranges::any_of(fleet_headers, [&](std::string_view name) {
            return equal_ignoring_case(name, header.name);
        });
    });
    headers.push_back({names.caller_service, identity.caller_service.value});
    if (!identity.organisation.empty()) {
        headers.push_back({names.organisation, identity.organisation.value});
    }
    return headers;
}

void add_upstream_headers(http_headers& headers, const header_names& names,
                          std::chrono::milliseconds time_left, const std::string& upstream)
{
    headers.push_back({names.deadline, fmt::format("{}", time_left.count())});
    headers.push_back({names.expected_upstream, upstream});
}

bool is_complete_response(int status, const http_headers& headers, const header_names& names)
{
    const bool is_success = status >= 200 && status < 300;
    return !is_success || (find_header(headers, names.signature).has_value() &&
                           !find_header(headers, "Content-Encoding").has_value());
}

} // namespace dragonflyroad
