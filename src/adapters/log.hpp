#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace dragonflyroad {

/// Builds one key=value log line and writes it to standard error when it goes out of scope. The
/// time (UTC, milliseconds) comes first; values with spaces, quotes or equals signs are quoted.
/// Callers never pass a key or a body.
class log_line {
public:
    explicit log_line(std::string_view event);
    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;
    log_line(log_line&&) = delete;
    log_line& operator=(log_line&&) = delete;
    ~log_line();

    template<typename Value>
    log_line& add(std::string_view key, const Value& value)
    {
        this->append(key, fmt::format("{}", value));
        return *this;
    }

private:
    void append(std::string_view key, const std::string& value);

    std::string text;
};

/// Sends log lines to standard output from now on. Writing never blocks: lines wait in a buffer of
/// bounded size while the reader is slow, and more lines than a bounded number a second are left
/// out and counted.
void log_to_bounded_output();

/// Lines that were left out since the start.
std::uint64_t log_lines_left_out();

/// Replaces the destination of log lines, for golden tests; an empty function restores standard
/// error. The line passed in has no time and no line end.
void set_log_sink(std::function<void(const std::string&)> sink);

} // namespace dragonflyroad
