#include "adapters/random_text.hpp"

#include <cstdlib>
#include <fmt/format.h>
#include <openssl/rand.h>
#include <vector>

namespace dragonflyroad {

std::string random_text(std::size_t bytes)
{
    std::vector<unsigned char> random(bytes);
    if (RAND_bytes(random.data(), static_cast<int>(bytes)) != 1) {
        // A predictable key would be accepted as a caller's identity.
        std::abort();
    }
    std::string text;
    for (const unsigned char byte : random) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

} // namespace dragonflyroad
