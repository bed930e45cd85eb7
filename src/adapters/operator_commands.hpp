#pragma once

#include "adapters/config_writer.hpp"
#include "adapters/settings.hpp"
#include "adapters/store.hpp"
#include "config/object.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad {

/// Store, settings and options shared by the operators' commands.
struct operator_context {
    store& source;
    operator_settings settings;
    /// Time limit for each read of the configuration, and for each change with its retries.
    std::chrono::milliseconds time_limit{10'000};
    std::optional<revision_number> if_revision;
    /// Whether to wait until all known nodes confirm the revision of a change.
    bool wait = false;
};

/// Writes the object in a TOML or JSON file to the store. All commands print their result on
/// standard output or their error on standard error, and return the program's exit code.
int run_put(operator_context& context, object_kind kind, const std::string& path);
int run_get(operator_context& context, object_kind kind, const std::string& name);
int run_list(operator_context& context, object_kind kind);
/// Prints each field in which the object in a file differs from the one in the store.
int run_diff(operator_context& context, object_kind kind, const std::string& name,
             const std::string& path);
int run_withdraw(operator_context& context, object_kind kind, const std::string& name);
/// Creates an API key for an organisation, prints it once and stores only its digest.
int run_key_grant(operator_context& context, const std::string& organisation);
/// Withdraws an API key by its digest.
int run_key_withdraw(operator_context& context, const std::string& digest);

} // namespace dragonflyroad
