#include "config/references.hpp"

#include <fmt/format.h>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_listed_objects = 10;

template<typename Map, typename Key>
void append_if_missing(std::vector<std::string>& missing, const Map& map, object_kind kind,
                       const Key& name)
{
    if (!map.contains(name)) {
        missing.push_back(fmt::format("{} {}", to_text(kind), name.value));
    }
}

template<typename Map, typename Predicate>
void append_referring(std::vector<std::string>& referring, const Map& map, Predicate refers)
{
    for (const auto& [key, value] : map) {
        if (referring.size() >= max_listed_objects) {
            return;
        }
        if (refers(value)) {
            const object item{value};
            referring.push_back(fmt::format("{} {}", to_text(kind_of(item)), name_of(item)));
        }
    }
}

} // namespace

std::vector<std::string> missing_references(const configuration& config, const object& value)
{
    std::vector<std::string> missing;
    if (const auto* item = std::get_if<service>(&value)) {
        append_if_missing(missing, config.profiles, object_kind::profile, item->profile);
    }
    if (const auto* item = std::get_if<route>(&value)) {
        append_if_missing(missing, config.services, object_kind::service, item->service);
        for (const organisation_id& id : item->organisations) {
            append_if_missing(missing, config.organisations, object_kind::organisation, id);
        }
    }
    const auto* item = std::get_if<key_record>(&value);
    if (item != nullptr && item->state == key_state::granted) {
        append_if_missing(missing, config.organisations, object_kind::organisation,
                          item->organisation);
    }
    return missing;
}

std::vector<std::string> referring_objects(const configuration& config, object_kind kind,
                                           const std::string& name)
{
    std::vector<std::string> referring;
    if (kind == object_kind::profile) {
        append_referring(referring, config.services,
                         [&](const service& item) { return item.profile.value == name; });
    }
    if (kind == object_kind::service) {
        append_referring(referring, config.routes,
                         [&](const route& item) { return item.service.value == name; });
    }
    if (kind == object_kind::organisation) {
        append_referring(referring, config.routes, [&](const route& item) {
            return item.organisations.contains(organisation_id{name});
        });
        append_referring(referring, config.keys, [&](const key_record& item) {
            return item.organisation.value == name && item.state == key_state::granted;
        });
    }
    return referring;
}

} // namespace dragonflyroad
