#include "adapters/operator_commands.hpp"

#include "adapters/command_line.hpp"
#include "adapters/fleet_commands.hpp"
#include "adapters/random_hex.hpp"
#include "adapters/toml_file.hpp"
#include "config/codec.hpp"
#include "core/digest.hpp"
#include "core/failure.hpp"

#include <fmt/format.h>
#include <fstream>
#include <set>
#include <sstream>

namespace dragonflyroad {
namespace {

constexpr std::size_t change_id_bytes = 16;
constexpr std::size_t key_bytes = 32;

int report_failure(const std::string& effect)
{
    fmt::print(stderr, "{}: {}: {} {}\n", last_failure().step, last_failure().peer,
               last_failure().detail, effect);
    return exit_failed;
}

time_point deadline_of(const operator_context& context)
{
    return boot_clock::now() + context.time_limit;
}

std::optional<nlohmann::json> read_fields(const std::string& path)
{
    if (!path.ends_with(".json")) {
        auto file = read_toml(path);
        return file ? std::optional{std::move(file->root)} : std::nullopt;
    }
    std::ifstream input{path, std::ios::binary};
    std::ostringstream text;
    if (!input || !(text << input.rdbuf())) {
        return fail("read", path, "the file cannot be read");
    }
    nlohmann::json fields = nlohmann::json::parse(text.str(), nullptr, false);
    return fields.is_discarded() ? fail("read", path, "the file is not valid JSON")
                                 : std::optional{std::move(fields)};
}

std::optional<object> read_object(object_kind kind, const std::string& path)
{
    const auto fields = read_fields(path);
    return fields ? decode_object(kind, *fields) : std::nullopt;
}

std::optional<configuration> read_current(operator_context& context)
{
    const auto stored = read_configuration(context.source, deadline_of(context));
    return stored ? stored->build() : std::nullopt;
}

void print_conflict(const change& requested, const change_result& result)
{
    fmt::print(stderr, "conflict: {} {} was changed by someone else: {}; nothing was changed\n",
               to_text(requested.kind), requested.name, result.detail);
    const bool exists = result.found && result.found->operation == change_operation::put;
    fmt::print(stderr, "present version: {}\n", exists ? result.found->body : "none");
    fmt::print(stderr, "your version:    {}\n", requested.body.empty() ? "none" : requested.body);
}

int report_result(operator_context& context, const change& requested, const change_result& result)
{
    switch (result.verdict) {
    case write_verdict::accepted:
        fmt::print("accepted: {} {} revision {}\n", to_text(requested.kind), requested.name,
                   result.revision);
        return context.wait ? wait_for_revision(context.settings, result.revision) : exit_done;
    case write_verdict::conflict:
        print_conflict(requested, result);
        return exit_failed;
    case write_verdict::refused:
    case write_verdict::failed:
        fmt::print(stderr, "{} {}: {}; nothing was changed\n", to_text(requested.kind),
                   requested.name, result.detail);
        return exit_failed;
    case write_verdict::unknown:
        break;
    }
    fmt::print(stderr,
               "{} {}: {}; it is unknown whether the change took effect, run get before trying "
               "again\n",
               to_text(requested.kind), requested.name, result.detail);
    return exit_failed;
}

int submit(operator_context& context, change requested)
{
    requested.id = random_hex(change_id_bytes);
    const auto result =
        submit_change(context.source, requested, context.if_revision, deadline_of(context));
    return report_result(context, requested, result);
}

change to_change(const object& value)
{
    return {
        0, "", kind_of(value), name_of(value), change_operation::put, encode_object(value).dump(),
        0};
}

/// Reads an object from the store. Prints an error and returns nothing if it cannot be read or does
/// not exist.
std::optional<object> read_named(operator_context& context, object_kind kind,
                                 const std::string& name)
{
    const auto config = read_current(context);
    if (!config) {
        report_failure("");
        return std::nullopt;
    }
    auto value = find_object(*config, kind, name);
    if (!value) {
        fmt::print(stderr, "there is no {} {}\n", to_text(kind), name);
    }
    return value;
}

} // namespace

int run_put(operator_context& context, object_kind kind, const std::string& path)
{
    const auto value = read_object(kind, path);
    if (!value) {
        report_failure("(nothing was changed)");
        return exit_usage;
    }
    return submit(context, to_change(*value));
}

int run_get(operator_context& context, object_kind kind, const std::string& name)
{
    const auto value = read_named(context, kind, name);
    if (!value) {
        return exit_failed;
    }
    fmt::print("{}\n", encode_object(*value).dump(2));
    return exit_done;
}

int run_list(operator_context& context, object_kind kind)
{
    const auto config = read_current(context);
    if (!config) {
        return report_failure("");
    }
    std::set<std::string> names;
    const auto collect = [&names](const auto& map) {
        for (const auto& [name, value] : map) {
            names.insert(name_of(object{value}));
        }
    };
    switch (kind) {
    case object_kind::profile:
        collect(config->profiles);
        break;
    case object_kind::service:
        collect(config->services);
        break;
    case object_kind::route:
        collect(config->routes);
        break;
    case object_kind::organisation:
        collect(config->organisations);
        break;
    case object_kind::key:
        collect(config->keys);
        break;
    }
    for (const std::string& name : names) {
        fmt::print("{}\n", name);
    }
    return exit_done;
}

int run_diff(operator_context& context, object_kind kind, const std::string& name,
             const std::string& path)
{
    const auto requested = read_object(kind, path);
    if (!requested) {
        report_failure("");
        return exit_usage;
    }
    const auto current = read_named(context, kind, name);
    if (!current) {
        return exit_failed;
    }
    const nlohmann::json old_fields = encode_object(*current);
    const nlohmann::json new_fields = encode_object(*requested);
    for (const auto& [field, value] : new_fields.items()) {
        if (old_fields[field] != value) {
            fmt::print("{}: {} -> {}\n", field, old_fields[field].dump(), value.dump());
        }
    }
    return exit_done;
}

int run_withdraw(operator_context& context, object_kind kind, const std::string& name)
{
    if (kind == object_kind::key) {
        return run_key_withdraw(context, name);
    }
    if (!read_named(context, kind, name)) {
        return exit_failed;
    }
    return submit(context, {0, "", kind, name, change_operation::withdraw, "", 0});
}

int run_key_grant(operator_context& context, const std::string& organisation)
{
    const std::string key = random_hex(key_bytes);
    const key_record granted{sha256_hex(key), organisation_id{organisation}, key_state::granted};
    change requested = to_change(granted);
    requested.id = random_hex(change_id_bytes);
    const auto result =
        submit_change(context.source, requested, context.if_revision, deadline_of(context));
    if (result.verdict == write_verdict::accepted) {
        fmt::print("key: {}\n", key);
    }
    return report_result(context, requested, result);
}

int run_key_withdraw(operator_context& context, const std::string& digest)
{
    const auto value = read_named(context, object_kind::key, digest);
    if (!value) {
        return exit_failed;
    }
    key_record withdrawn = std::get<key_record>(*value);
    withdrawn.state = key_state::withdrawn;
    return submit(context, to_change(withdrawn));
}

} // namespace dragonflyroad
