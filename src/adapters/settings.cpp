#include "adapters/settings.hpp"

#include "adapters/settings_reader.hpp"

namespace dragonflyroad {
namespace {

// A shorter HMAC-SHA256 secret could be found by brute force from recorded datagrams.
constexpr std::size_t min_secret_size = 16;

} // namespace

std::optional<node_settings> load_node_settings(const std::string& path)
{
    const std::optional<toml_file> file = read_toml(path);
    if (!file) {
        return std::nullopt;
    }
    node_settings settings;
    settings_reader reader{*file};
    reader.read_name("node.id", settings.id.value);
    reader.read_name("node.data_centre", settings.centre.value);
    reader.read_address("node.caller_address", port_zero::allowed, settings.caller_address);
    reader.read_address("node.peer_address", port_zero::allowed, settings.peer_address);
    reader.read_address("node.admin_address", port_zero::allowed, settings.admin_address);
    reader.read_secret("fleet.secret", min_secret_size, settings.secret);
    reader.read_addresses("fleet.seeds", settings.seeds);
    reader.read_address("store.address", port_zero::refused, settings.store_address);
    reader.read_number("process.worker_threads", 1, 1024, settings.worker_threads);
    reader.read_number("process.max_header_bytes", 1024, 1U << 20U, settings.max_header_bytes);
    if (!reader.finish()) {
        return std::nullopt;
    }
    return settings;
}

std::optional<operator_settings> load_operator_settings(const std::string& path)
{
    const std::optional<toml_file> file = read_toml(path);
    if (!file) {
        return std::nullopt;
    }
    operator_settings settings;
    settings_reader reader{*file};
    reader.read_address("store.address", port_zero::refused, settings.store_address);
    reader.read_addresses("admin.addresses", settings.admin_addresses);
    if (!reader.finish()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace dragonflyroad
