#include "adapters/log.hpp"

#include <chrono>
#include <cstdio>
#include <mutex>
#include <utility>

#include <fmt/chrono.h>

namespace dragonflyroad {
namespace {

struct log_output {
    std::mutex mutex;
    std::function<void(const std::string&)> sink;
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
    fmt::print(stderr, "time={} {}\n", utc_now(), this->text);
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
