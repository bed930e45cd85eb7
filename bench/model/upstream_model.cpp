#include "bench/model/upstream_model.hpp"

#include <cmath>
#include <random>

namespace dragonflyroad::bench {
namespace {

using namespace std::chrono_literals;

constexpr double cold_start_factor = 5;
constexpr duration cold_start_time = 8s;
constexpr double slow_factor = 10;
constexpr double slow_request_share = 0.25;
constexpr duration flap_half_period = 3s;
constexpr duration restart_time = 2s;

} // namespace

void upstream_model::set_fault(upstream_fault kind, time_point now)
{
    this->fault = kind;
    this->fault_since = now;
}

bool upstream_model::is_flap_slow(time_point now) const
{
    return ((now - this->fault_since) / flap_half_period) % 2 == 0;
}

bool upstream_model::is_faulty(time_point now) const
{
    return this->is_down(now) || this->fault != upstream_fault::none;
}

bool upstream_model::start_queued(attempt_number& attempt)
{
    if (this->queue.empty() || this->running >= this->slots) {
        return false;
    }
    attempt = this->queue.front();
    this->queue.pop_front();
    ++this->running;
    return true;
}

duration upstream_model::draw_service_time(time_point now, random_engine& random) const
{
    std::normal_distribution<double> normal(0, this->times->sigma);
    double ms = this->times->median_ms * std::exp(normal(random)) * this->times->slowdown;
    if (uniform(random) < this->times->heavy_share) {
        ms *= this->times->heavy_factor;
    }
    const bool is_slow =
        this->fault == upstream_fault::slow ||
        (this->fault == upstream_fault::slow_share && uniform(random) < slow_request_share) ||
        (this->fault == upstream_fault::flap && this->is_flap_slow(now));
    if (is_slow) {
        ms *= slow_factor;
    }
    const duration age = now - this->cold_since;
    if (this->cold_since != time_point{} && age < cold_start_time) {
        ms *= cold_start_factor - (cold_start_factor - 1) * static_cast<double>(age.count()) /
                                      static_cast<double>(cold_start_time.count());
    }
    return duration{static_cast<std::int64_t>(ms * 1e6)};
}

void upstream_model::crash(time_point now)
{
    this->queue.clear();
    this->running = 0;
    this->down_until = now + restart_time;
    this->cold_since = this->down_until;
}

} // namespace dragonflyroad::bench
