#pragma once

#include <optional>

#include <CLI/CLI.hpp>

namespace dragonflyroad {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/// Parses the command line. Returns an exit code if the program should exit: 0 after --help and
/// --version, 2 after a usage error, in place of CLI11's own error codes.
std::optional<int> parse_command_line(CLI::App& app, int argc, const char* const* argv);

} // namespace dragonflyroad
