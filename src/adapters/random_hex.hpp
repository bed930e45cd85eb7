#pragma once

#include <cstddef>
#include <string>

namespace dragonflyroad {

/// Returns `bytes` bytes of OpenSSL's cryptographic random generator as hexadecimal text, for keys
/// and change identifiers. Aborts the process if the generator fails.
std::string random_hex(std::size_t bytes);

} // namespace dragonflyroad
