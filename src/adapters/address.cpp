#include "adapters/address.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace dragonflyroad {
namespace {

bool is_numeric(int family, const std::string& ip)
{
    in6_addr ignored{};
    return inet_pton(family, ip.c_str(), &ignored) == 1;
}

} // namespace

std::string ip_address::to_text() const
{
    const bool is_v6 = this->ip.find(':') != std::string::npos;
    return is_v6 ? fmt::format("[{}]:{}", this->ip, this->port)
                 : fmt::format("{}:{}", this->ip, this->port);
}

std::optional<ip_address> parse_address(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string ip{text.substr(0, colon)};
    const bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    if (!is_numeric(bracketed ? AF_INET6 : AF_INET, ip)) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.begin(), digits.end(), port);
    if (error != std::errc{} || end != digits.end()) {
        return std::nullopt;
    }
    return ip_address{ip, port};
}

} // namespace dragonflyroad
