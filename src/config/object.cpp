#include "config/object.hpp"

#include <algorithm>
#include <array>
#include <type_traits>

namespace dragonflyroad {
namespace {

// In the order of object_kind.
constexpr std::array<std::string_view, 5> kind_names{"profile", "service", "route", "organisation",
                                                     "key"};

template<typename Map, typename Key>
std::optional<object> find_in_map(const Map& map, const Key& key)
{
    const auto found = map.find(key);
    return found == map.end() ? std::nullopt : std::optional<object>{found->second};
}

} // namespace

std::string_view to_text(object_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::optional<object_kind> parse_kind(std::string_view text)
{
    const auto found = std::find(kind_names.begin(), kind_names.end(), text);
    return found == kind_names.end()
               ? std::nullopt
               : std::optional{static_cast<object_kind>(found - kind_names.begin())};
}

object_kind kind_of(const object& value)
{
    return static_cast<object_kind>(value.index());
}

const std::string& name_of(const object& value)
{
    return std::visit(
        [](const auto& item) -> const std::string& {
            using type = std::decay_t<decltype(item)>;
            if constexpr (std::is_same_v<type, key_record>) {
                return item.digest;
            }
            else if constexpr (std::is_same_v<type, organisation>) {
                return item.id.value;
            }
            else {
                return item.name.value;
            }
        },
        value);
}

std::optional<object> find_object(const configuration& config, object_kind kind,
                                  const std::string& name)
{
    switch (kind) {
    case object_kind::profile:
        return find_in_map(config.profiles, profile_name{name});
    case object_kind::service:
        return find_in_map(config.services, service_name{name});
    case object_kind::route:
        return find_in_map(config.routes, route_name{name});
    case object_kind::organisation:
        return find_in_map(config.organisations, organisation_id{name});
    case object_kind::key:
        break;
    }
    return find_in_map(config.keys, name);
}

void put_object(configuration& config, const object& value)
{
    switch (kind_of(value)) {
    case object_kind::profile:
        return config.profiles.insert_or_assign(std::get<profile>(value).name,
                                                std::get<profile>(value));
    case object_kind::service:
        return config.services.insert_or_assign(std::get<service>(value).name,
                                                std::get<service>(value));
    case object_kind::route:
        return config.routes.insert_or_assign(std::get<route>(value).name, std::get<route>(value));
    case object_kind::organisation:
        return config.organisations.insert_or_assign(std::get<organisation>(value).id,
                                                     std::get<organisation>(value));
    case object_kind::key:
        break;
    }
    config.keys.insert_or_assign(std::get<key_record>(value).digest, std::get<key_record>(value));
}

void withdraw_object(configuration& config, object_kind kind, const std::string& name)
{
    switch (kind) {
    case object_kind::profile:
        config.profiles.erase(profile_name{name});
        return;
    case object_kind::service:
        config.services.erase(service_name{name});
        return;
    case object_kind::route:
        config.routes.erase(route_name{name});
        return;
    case object_kind::organisation:
        config.organisations.erase(organisation_id{name});
        return;
    case object_kind::key:
        break;
    }
    if (const auto found = config.keys.find(name); !(found == config.keys.end())) {
        key_record withdrawn = found->second;
        withdrawn.state = key_state::withdrawn;
        config.keys.insert_or_assign(name, withdrawn);
    }
}

} // namespace dragonflyroad
