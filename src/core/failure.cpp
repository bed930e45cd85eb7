#include "core/failure.hpp"

#include <utility>

namespace dragonflyroad {
namespace {

thread_local failure last;

} // namespace

std::nullopt_t fail(std::string step, std::string peer, std::string detail)
{
    last = failure{std::move(step), std::move(peer), std::move(detail)};
    return std::nullopt;
}

const failure& last_failure()
{
    return last;
}

} // namespace dragonflyroad
