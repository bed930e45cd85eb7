#include "adapters/random_hex.hpp"

#include <cstdlib>
#include <fmt/format.h>
#include <openssl/rand.h>
#include <vector>

namespace dragonflyroad {

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> random(bytes);
    if (RAND_bytes(random.data(), static_cast<int>(bytes)) != 1) {
        // Continuing could give a predictable key, with which anyone could pose as the caller.
        std::abort();
    }
    std::string text;
    for (const unsigned char byte : random) {
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

} // namespace dragonflyroad
