#pragma once

#include <cstddef>
#include <string>

namespace dragonflyroad {

/// Random bytes of the system's cryptographic generator as hexadecimal text, for keys and change
/// identifiers.
std::string random_text(std::size_t bytes);

} // namespace dragonflyroad
