#include "adapters/log.hpp"

#include "core/clock.hpp"

#include <chrono>
#include <cstdio>
#include <mutex>
#include <optional>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include <fmt/chrono.h>

namespace dragonflyroad {
namespace {

/// Rate limit of log lines. A busy node of the current deployments writes about 30 lines a second.
constexpr std::uint64_t max_lines_per_second = 400;

/// Maximum number of bytes buffered while the reader of standard output is slow.
constexpr std::size_t max_buffered_bytes = 256U << 10U;

/// Writes lines to standard output in non-blocking mode.
class nonblocking_stdout {
public:
    nonblocking_stdout()
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    void write(const std::string& line)
    {
        const time_point now = boot_clock::now();
        if (now >= this->window_end) {
            this->window_end = now + std::chrono::seconds{1};
            this->lines_in_window = 0;
        }
        const bool is_over_limit = ++this->lines_in_window > max_lines_per_second;
        if (is_over_limit || this->buffer.size() + line.size() > max_buffered_bytes) {
            ++this->dropped;
        }
        else {
            this->buffer += line;
        }
        const auto count = ::write(STDOUT_FILENO, this->buffer.data(), this->buffer.size());
        if (count > 0) {
            this->buffer.erase(0, static_cast<std::size_t>(count));
        }
    }

    std::uint64_t dropped_lines() const { return this->dropped; }

private:
    std::string buffer;
    time_point window_end{};
    std::uint64_t lines_in_window = 0;
    std::uint64_t dropped = 0;
};

struct log_output {
    std::mutex mutex;
    std::function<void(const std::string&)> sink;
    std::optional<nonblocking_stdout> bounded;
};

log_output& output()
{
    static log_output instance;
    return instance;
}

std::string quote(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string::npos) {
        return value;
    }
    std::string quoted = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
        }
        const bool is_control = static_cast<unsigned char>(character) < 0x20U;
        quoted += is_control ? ' ' : character;
    }
    return quoted + '"';
}

std::string utc_now()
{
    const auto now = std::chrono::system_clock::now();
    const auto whole = std::chrono::floor<std::chrono::milliseconds>(now);
    const auto milliseconds = whole.time_since_epoch().count() % 1000;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(whole)), milliseconds);
}

} // namespace

log_line::log_line(std::string_view event)
{
    this->append("event", std::string{event});
}

log_line::~log_line()
{
    log_output& target = output();
    const std::scoped_lock lock{target.mutex};
    if (target.sink) {
        target.sink(this->text);
        return;
    }
    const std::string line = fmt::format("time={} {}\n", utc_now(), this->text);
    if (target.bounded) {
        target.bounded->write(line);
        return;
    }
    fmt::print(stderr, "{}", line);
}

void log_to_nonblocking_stdout()
{
    log_output& target = output();
    const std::scoped_lock lock{target.mutex};
    target.bounded.emplace();
}

std::uint64_t log_lines_dropped()
{
    log_output& target = output();
    const std::scoped_lock lock{target.mutex};
    return target.bounded ? target.bounded->dropped_lines() : 0;
}

void log_line::append(std::string_view key, const std::string& value)
{
    if (!this->text.empty()) {
        this->text += ' ';
    }
    this->text += key;
    this->text += '=';
    this->text += quote(value);
}

void set_log_sink(std::function<void(const std::string&)> sink)
{
    log_output& target = output();
    const std::scoped_lock lock{target.mutex};
    target.sink = std::move(sink);
}

} // namespace dragonflyroad
