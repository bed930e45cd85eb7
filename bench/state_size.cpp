#include "bench/allocated_bytes.hpp"
#include "bench/capacity.hpp"
#include "claims/claim_table.hpp"
#include "config/change_codec.hpp"
#include "config/codec.hpp"
#include "core/digest.hpp"
#include "limits/ledger_codec.hpp"

#include <fmt/format.h>

namespace dragonflyroad::bench {
namespace {

record make_record(const std::string& measure, double value, std::uint64_t seed)
{
    return {"state_size", "target", measure, value, "B", 0, bound_kind::none, seed};
}

seat_key nth_seat(std::size_t number)
{
    return {node_id{fmt::format("node-{:04}", number)},
            (std::uint64_t{1'700'000'000'000} << 20U) + number};
}

ledger make_ledger(std::size_t seats)
{
    ledger book;
    for (std::size_t number = 0; number < seats; ++number) {
        seat next;
        next.holder = nth_seat(number);
        next.centre = data_centre{fmt::format("dc-{}", number % 14)};
        next.address = fmt::format("10.20.{}.{}:7401", number / 200, number % 200);
        next.witnesses = {nth_seat((number + 1) % seats), nth_seat((number + 2) % seats)};
        next.joined = number + 1;
        book.seats.push_back(next);
    }
    book.version = seats;
    book.seat_version = seats;
    return book;
}

/// Measures the bytes per seat of the ledger in the store. Every proof writes the whole ledger.
record ledger_bytes(std::size_t seats, std::uint64_t seed)
{
    const auto bytes = static_cast<double>(encode(make_ledger(seats)).size());
    return make_record(fmt::format("ledger_bytes_per_seat_{}", seats),
                       bytes / static_cast<double>(seats), seed);
}

/// Measures the bytes per change of the head in the store. Watchers read the whole head after every
/// change.
record head_bytes(std::size_t changes, std::uint64_t seed)
{
    head_record head;
    head.revision = changes;
    for (std::size_t number = 1; number <= changes; ++number) {
        const std::string digest = sha256_hex(fmt::format("key {}", number));
        const key_record key{digest, organisation_id{fmt::format("org{:07}", number)},
                             key_state::granted};
        head.changes.push_back({number, digest.substr(0, 32), object_kind::key, digest,
                                change_operation::put, encode_object(key).dump(), 0});
    }
    return make_record(fmt::format("head_bytes_per_change_{}", changes),
                       static_cast<double>(encode_head(head).size()) / static_cast<double>(changes),
                       seed);
}

record claim_bytes(std::size_t count, std::uint64_t seed)
{
    const std::size_t before = allocated_bytes();
    claim_table table{nth_seat(0), count, std::chrono::minutes{2}};
    table.set_seats(make_ledger(1), time_point{std::chrono::hours{1}});
    for (std::size_t number = 0; number < count; ++number) {
        claim_request request;
        request.key = make_claim_key(organisation_id{"org"}, service_name{"allocations"},
                                     fmt::format("{}", number));
        request.seat_version = 1;
        request.attempt = number;
        table.claim(request, true, time_point{std::chrono::hours{2}});
    }
    const auto held = static_cast<double>(table.size());
    return make_record(fmt::format("bytes_per_claim_{}", table.size()),
                       held == 0 ? 0 : static_cast<double>(allocated_bytes() - before) / held,
                       seed);
}

} // namespace

std::vector<record> state_size(std::uint64_t seed)
{
    std::vector<record> records;
    for (const std::size_t seats : {24U, 150U, 2'100U}) {
        records.push_back(ledger_bytes(seats, seed));
    }
    for (const std::size_t changes : {50U, 200U, 264U}) {
        records.push_back(head_bytes(changes, seed));
    }
    for (const std::size_t count : {10'000U, 100'000U, 1'000'000U}) {
        records.push_back(claim_bytes(count, seed));
    }
    return records;
}

} // namespace dragonflyroad::bench
