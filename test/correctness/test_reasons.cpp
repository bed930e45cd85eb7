#include "core/reasons.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string_view>

using namespace dragonflyroad;

// Guards against two refusal reasons with the same code, whose counters would be merged.
TEST_CASE("every refusal reason has its own code and an error status")
{
    std::set<std::string_view> codes;
    for (std::size_t index = 0; index < refusal_reason_count; ++index) {
        const refusal_description& description = describe(static_cast<refusal_reason>(index));
        CHECK(codes.insert(description.code).second);
        CHECK(description.status >= 400);
    }
}
