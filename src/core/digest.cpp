#include "core/digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

namespace dragonflyroad {
namespace {

const unsigned char* as_bytes(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    SHA256(as_bytes(text), text.size(), hash.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(hash.size() * 2);
    for (const unsigned char byte : hash) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 15U];
    }
    return hex;
}

std::string hmac_sha256(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> code{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), as_bytes(text), text.size(),
         code.data(), &length);
    return {reinterpret_cast<const char*>(code.data()), length};
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
    constexpr std::uint64_t fnv_prime = 0x100000001b3U;
    std::uint64_t hash = fnv_offset ^ (seed * 0x9e3779b97f4a7c15U);
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    // Finalizer of splitmix64: the high bits of FNV alone differ too little between short names.
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

} // namespace dragonflyroad
