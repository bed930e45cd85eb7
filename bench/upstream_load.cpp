#include "bench/upstream_load.hpp"

#include <fmt/format.h>

namespace dragonflyroad::bench {

service_name nth_service(std::size_t number)
{
    return service_name{fmt::format("service{:04}", number)};
}

void fill_upstreams(upstream_set& set, std::size_t services, std::size_t per_service,
                    time_point now)
{
    for (std::size_t number = 0; number < services * per_service; ++number) {
        const upstream_id id{
            fmt::format("10.{}.{}.{}:9000", number / 40'000, number / 200 % 200, number % 200)};
        set.apply({id, nth_service(number / per_service), 7, upstream_state::ready,
                   std::chrono::seconds{60}},
                  now);
    }
}

} // namespace dragonflyroad::bench
