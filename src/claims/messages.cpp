#include "claims/messages.hpp"

#include "core/digest.hpp"

#include <string>

namespace dragonflyroad {

claim_key make_claim_key(const organisation_id& organisation, const service_name& service,
                         std::string_view idempotency_key)
{
    // The length prefixes give ("ab", "c") and ("a", "bc") different digests.
    std::string text = std::to_string(organisation.value.size()) + ':' + organisation.value +
                       std::to_string(service.value.size()) + ':' + service.value;
    text += idempotency_key;
    // Clients choose the key: without collision resistance, one client could cause the requests of
    // others to be refused.
    const std::string digest = sha256_hex(text);
    constexpr std::size_t half = 16;
    constexpr int base = 16;
    return {std::stoull(digest.substr(0, half), nullptr, base),
            std::stoull(digest.substr(half, half), nullptr, base)};
}

} // namespace dragonflyroad
