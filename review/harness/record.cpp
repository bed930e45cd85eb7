#include "review/harness/record.hpp"

#include <cstdlib>

namespace review {
namespace {

const std::chrono::steady_clock::time_point started_at = std::chrono::steady_clock::now();

} // namespace

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

std::chrono::milliseconds elapsed()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 started_at);
}

void record::add(const std::string& line)
{
    const std::lock_guard lock{this->mutex};
    this->file << "at_ms=" << elapsed().count() << ' ' << line << std::endl;
}

} // namespace review
