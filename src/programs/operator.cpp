#include "adapters/command_line.hpp"
#include "adapters/fleet_status.hpp"
#include "adapters/http_store.hpp"
#include "adapters/operator_commands.hpp"
#include "adapters/settings.hpp"
#include "core/failure.hpp"

#include <fmt/core.h>
#include <functional>
#include <string>

using namespace dragonflyroad;

namespace {

struct command_line {
    std::string settings = "operator.toml";
    std::string kind;
    std::string name;
    std::string file;
    std::string organisation;
    revision_number if_revision = 0;
    CLI::Option* has_revision = nullptr;
    bool wait = false;
    bool check = false;
    /// The command that was chosen.
    std::function<int(operator_context&)> run;
};

object_kind kind_in(const command_line& line)
{
    return parse_kind(line.kind).value_or(object_kind::profile);
}

CLI::App* add_command(CLI::App& app, command_line& line, const char* name, const char* help,
                      std::function<int(operator_context&)> run)
{
    CLI::App* command = app.add_subcommand(name, help);
    command->fallthrough();
    command->callback([&line, run = std::move(run)] { line.run = run; });
    return command;
}

void add_kind(CLI::App* command, command_line& line)
{
    command->add_option("kind", line.kind, "profile, service, route, organisation or key")
        ->required()
        ->check(CLI::IsMember({"profile", "service", "route", "organisation", "key"}));
}

void add_name(CLI::App* command, command_line& line, const char* help)
{
    command->add_option("name", line.name, help)->required();
}

void declare_objects(CLI::App& app, command_line& line)
{
    CLI::App* put = add_command(app, line, "put", "write an object", [&line](auto& context) {
        return run_put(context, kind_in(line), line.file);
    });
    CLI::App* get = add_command(app, line, "get", "print an object", [&line](auto& context) {
        return run_get(context, kind_in(line), line.name);
    });
    CLI::App* list = add_command(app, line, "list", "print all names", [&line](auto& context) {
        return run_list(context, kind_in(line));
    });
    CLI::App* diff = add_command(app, line, "diff", "compare with a file", [&line](auto& context) {
        return run_diff(context, kind_in(line), line.name, line.file);
    });
    CLI::App* withdraw =
        add_command(app, line, "withdraw", "withdraw an object", [&line](auto& context) {
            return run_withdraw(context, kind_in(line), line.name);
        });
    for (CLI::App* command : {put, get, list, diff, withdraw}) {
        add_kind(command, line);
    }
    for (CLI::App* command : {get, diff, withdraw}) {
        add_name(command, line, "name, organisation identifier or key digest");
    }
    for (CLI::App* command : {put, diff}) {
        command->add_option("file", line.file, "TOML file, or JSON file (.json)")->required();
    }
}

void declare_keys(CLI::App& app, command_line& line)
{
    CLI::App* key = app.add_subcommand("key", "grant or withdraw keys");
    key->require_subcommand(1);
    key->fallthrough();
    CLI::App* grant = add_command(*key, line, "grant", "create a key", [&line](auto& context) {
        return run_key_grant(context, line.organisation);
    });
    grant->add_option("--organisation", line.organisation, "its organisation")->required();
    CLI::App* withdraw =
        add_command(*key, line, "withdraw", "withdraw a key",
                    [&line](auto& context) { return run_key_withdraw(context, line.name); });
    add_name(withdraw, line, "digest of the key");
}

void declare_fleet(CLI::App& app, command_line& line)
{
    add_command(app, line, "status", "print all nodes",
                [](auto& context) { return run_status(context.settings); });
    CLI::App* explain =
        add_command(app, line, "explain", "print the evidence on a request",
                    [&line](auto& context) { return run_explain(context.settings, line.name); });
    add_name(explain, line, "identifier of the request");
    CLI::App* lost = add_command(
        app, line, "confirm-lost", "confirm the loss of a node",
        [&line](auto& context) { return run_confirm_lost(context.settings, line.name); });
    add_name(lost, line, "identifier of the node");
}

void declare(CLI::App& app, command_line& line)
{
    app.set_version_flag("--version", "0.1.0");
    app.add_option("--settings", line.settings, "settings file");
    app.add_flag("--check", line.check, "validate the settings and exit");
    app.add_flag("--wait", line.wait, "wait until all known nodes confirm the change");
    line.has_revision = app.add_option("--if-revision", line.if_revision,
                                       "change the object only if it is at this revision");
    app.require_subcommand(0, 1);
    declare_objects(app, line);
    declare_keys(app, line);
    declare_fleet(app, line);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Controls a dragonflyroad fleet"};
    command_line line;
    declare(app, line);
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }
    const auto settings = load_operator_settings(line.settings);
    if (!settings) {
        fmt::print(stderr, "{}: {}\n", last_failure().peer, last_failure().detail);
        return exit_usage;
    }
    if (line.check) {
        return exit_done;
    }
    if (!line.run) {
        fmt::print(stderr, "no command; --help lists them\n");
        return exit_usage;
    }
    http_store source{*parse_address(settings->store_address)};
    operator_context context{.source = source, .settings = *settings, .if_revision = {}};
    context.wait = line.wait;
    if (line.has_revision->count() > 0) {
        context.if_revision = line.if_revision;
    }
    return line.run(context);
}
