#pragma once

#include <optional>

#include <CLI/CLI.hpp>

namespace dragonflyroad {

constexpr int exit_done = 0;
constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

/// Parses the command line. Returns the exit code when the program should end: 0 after --help and
/// --version, 2 after wrong use, whatever code CLI11 would choose.
std::optional<int> parse_command_line(CLI::App& app, int argc, const char* const* argv);

} // namespace dragonflyroad
