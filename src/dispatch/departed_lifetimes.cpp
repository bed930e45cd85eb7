#include "dispatch/departed_lifetimes.hpp"

#include <algorithm>
#include <cstddef>

#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

/// Upper bound on the lifetimes that are kept: reports are seconds late at most, and an upstream
/// takes about a second to start. The text takes less than 1 KB.
constexpr std::size_t max_lifetimes = 16;

} // namespace

void departed_lifetimes::add(const std::string& id, std::int64_t started_at)
{
    const auto found = this->starts.find(id);
    if (found != this->starts.end()) {
        found->second = std::max(found->second, started_at);
        return;
    }
    if (this->starts.size() >= max_lifetimes) {
        this->remove_earliest();
    }
    this->starts[id] = started_at;
}

void departed_lifetimes::remove_earliest()
{
    this->starts.erase(std::ranges::min_element(
        this->starts, {}, &std::pair<const std::string, std::int64_t>::second));
}

void departed_lifetimes::add_all(const departed_lifetimes& other)
{
    for (const auto& [id, started_at] : other.starts) {
        const auto [known, is_new] = this->starts.try_emplace(id, started_at);
        known->second = std::max(known->second, started_at);
    }
    // Removed after all were added, so that nodes which merge in another order keep the same ones.
    while (this->starts.size() > max_lifetimes) {
        this->remove_earliest();
    }
}

bool departed_lifetimes::contains(const std::string& id, std::int64_t started_at) const
{
    const auto found = this->starts.find(id);
    return found != this->starts.end() && started_at <= found->second;
}

bool departed_lifetimes::contains_all(const departed_lifetimes& other) const
{
    return std::ranges::all_of(other.starts, [this](const auto& lifetime) {
        return this->contains(lifetime.first, lifetime.second);
    });
}

std::string departed_lifetimes::to_text() const
{
    // Replaces bytes that are no UTF-8 instead of throwing: one odd id must not keep the others
    // from being recorded.
    return this->starts.empty()
               ? std::string{}
               : nlohmann::json(this->starts)
                     .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

departed_lifetimes departed_lifetimes::from_text(const std::string& text)
{
    departed_lifetimes result;
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return result;
    }
    for (const auto& [id, started_at] : document.items()) {
        if (started_at.is_number_integer()) {
            result.add(id, started_at.get<std::int64_t>());
        }
    }
    return result;
}

} // namespace dragonflyroad
