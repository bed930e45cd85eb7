#include "limits/ledger_codec.hpp"

#include "core/failure.hpp"
#include "limits/message_codec.hpp"

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

namespace dragonflyroad {
namespace {

using nlohmann::json;

json to_json(const seat& entry)
{
    json witnesses = json::array();
    for (const seat_key& witness : entry.witnesses) {
        witnesses.push_back(to_json(witness));
    }
    return {{"holder", to_json(entry.holder)}, {"centre", entry.centre.value},
            {"address", entry.address},        {"units", entry.units},
            {"witnesses", witnesses},          {"marked", entry.marked},
            {"lost", entry.confirmed_lost},    {"joined", entry.joined}};
}

seat to_seat(const json& value)
{
    seat entry;
    entry.holder = parse_seat_key(value.at("holder"));
    entry.centre = data_centre{value.at("centre").get<std::string>()};
    entry.address = value.at("address").get<std::string>();
    entry.units = value.at("units").get<std::int64_t>();
    for (const json& witness : value.at("witnesses")) {
        entry.witnesses.push_back(parse_seat_key(witness));
    }
    entry.marked = value.at("marked").get<std::uint64_t>();
    entry.confirmed_lost = value.at("lost").get<bool>();
    entry.joined = value.at("joined").get<std::uint64_t>();
    return entry;
}

ledger to_ledger(const json& value)
{
    ledger book;
    book.version = value.at("version").get<std::uint64_t>();
    book.seat_version = value.at("seat_version").get<std::uint64_t>();
    book.free_units = value.at("free").get<std::int64_t>();
    for (const json& entry : value.at("seats")) {
        book.seats.push_back(to_seat(entry));
    }
    for (const json& entry : value.at("departures")) {
        book.departures.push_back(
            {parse_seat_key(entry.at("holder")), entry.at("joined").get<std::uint64_t>(),
             entry.at("departed").get<std::uint64_t>(), entry.at("handed_over").get<bool>()});
    }
    return book;
}

bool is_consistent(const ledger& book)
{
    std::set<seat_key> holders;
    bool is_valid = book.free_units >= 0 && book.free_units <= total_units;
    for (const seat& entry : book.seats) {
        is_valid = is_valid && entry.units >= 0 && entry.units <= total_units &&
                   entry.witnesses.size() <= 2 && holders.insert(entry.holder).second;
    }
    return is_valid && book.sum() == total_units;
}

} // namespace

std::string encode(const ledger& book)
{
    json seats = json::array();
    for (const seat& entry : book.seats) {
        seats.push_back(to_json(entry));
    }
    json departures = json::array();
    for (const departure& entry : book.departures) {
        departures.push_back({{"holder", to_json(entry.holder)},
                              {"joined", entry.joined},
                              {"departed", entry.departed},
                              {"handed_over", entry.handed_over}});
    }
    return json{{"version", book.version},
                {"seat_version", book.seat_version},
                {"free", book.free_units},
                {"seats", std::move(seats)},
                {"departures", std::move(departures)}}
        .dump();
}

std::optional<ledger> decode_ledger(std::string_view text)
{
    try {
        ledger book = to_ledger(json::parse(text));
        if (!is_consistent(book)) {
            return fail("read ledger", "store",
                        "units are out of range or do not add up to " +
                            std::to_string(total_units) +
                            ", a seat is repeated, or a seat has more than 2 witnesses");
        }
        return book;
    }
    catch (const json::exception& error) {
        return fail("read ledger", "store", error.what());
    }
}

} // namespace dragonflyroad
