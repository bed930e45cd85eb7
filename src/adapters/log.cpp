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

/// Lines a second that are written; a busy node of today's sites writes about thirty.
constexpr std::uint64_t most_lines_per_second = 400;

/// Bytes that wait for a slow reader.
constexpr std::size_t most_waiting_bytes = 256U << 10U;

/// Standard output without blocking.
class bounded_output {
public:
    bounded_output()
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
        const bool is_over = ++this->lines_in_window > most_lines_per_second;
        if (is_over || this->waiting.size() + line.size() > most_waiting_bytes) {
            ++this->left_out;
        }
        else {
            this->waiting += line;
        }
        const auto count = ::write(STDOUT_FILENO, this->waiting.data(), this->waiting.size());
        if (count > 0) {
            this->waiting.erase(0, static_cast<std::size_t>(count));
        }
    }

    std::uint64_t lines_left_out() const { return this->left_out; }

private:
    std::string waiting;
    time_point window_end{};
    std::uint64_t lines_in_window = 0;
    std::uint64_t left_out = 0;
};

struct log_output {
    std::mutex mutex;
    std::function<void(const std::string&)> sink;
    std::optional<bounded_output> bounded;
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

void log_to_bounded_output()
{
    log_output& target = output();
    const std::scoped_lock lock{target.mutex};
    target.bounded.emplace();
}

std::uint64_t log_lines_left_out()
{
    log_output& target = output();
    const std::scoped_lock lock{target.mutex};
    return target.bounded ? target.bounded->lines_left_out() : 0;
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
