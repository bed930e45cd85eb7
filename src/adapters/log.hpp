#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <fmt/format.h>

namespace dragonflyroad {

/// Builds one log line of key=value fields and writes it when the object goes out of scope, by
/// default to standard error. The time (UTC, milliseconds) comes first; values with spaces, quotes
/// or equals signs are quoted. Callers must never pass an API key or a body.
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

/// Redirects log lines to standard output. Writing never blocks: while the reader is slow, lines
/// are kept in a buffer of bounded size. Lines that exceed the buffer or the limit of lines a
/// second are dropped and counted.
void log_to_nonblocking_stdout();

/// Number of lines dropped since the start.
std::uint64_t log_lines_dropped();

/// Replaces the destination of log lines, for golden tests; an empty function restores the previous
/// destination. The sink receives each line without its time and line end.
void set_log_sink(std::function<void(const std::string&)> sink);

} // namespace dragonflyroad
