#pragma once

#include "net.hpp"

#include <string>

namespace review {

/// Whether the case brings about its disruption; the environment sets TROUBLE=0 for the run
/// without.
bool has_trouble();

/// Milliseconds since the start of the case.
milliseconds elapsed();

/// Opens the record of a case.
void open_record(const std::string& path);

/// Writes a line with the time to the record.
void record(const std::string& line);

void wait_until(milliseconds time);

/// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int could_not_run = 2;

} // namespace review
