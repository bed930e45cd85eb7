#include "adapters/command_line.hpp"
#include "adapters/fleet_commands.hpp"
#include "adapters/http_store.hpp"
#include "adapters/operator_commands.hpp"
#include "adapters/settings.hpp"
#include "core/failure.hpp"

#include <fmt/core.h>
#include <functional>
#include <string>

using namespace dragonflyroad;

namespace {

struct arguments {
    std::string settings = "operator.toml";
    std::string kind;
    std::string name;
    std::string file;
    std::string organisation;
    revision_number if_revision = 0;
    CLI::Option* if_revision_option = nullptr;
    bool wait = false;
    bool check = false;
    /// Runs the selected command.
    std::function<int(operator_context&)> run;
};

object_kind selected_kind(const arguments& args)
{
    return parse_kind(args.kind).value_or(object_kind::profile);
}

CLI::App* add_command(CLI::App& app, arguments& args, const char* name, const char* help,
                      std::function<int(operator_context&)> run)
{
    CLI::App* command = app.add_subcommand(name, help);
    command->fallthrough();
    command->callback([&args, run = std::move(run)] { args.run = run; });
    return command;
}

void add_kind(CLI::App* command, arguments& args)
{
    command->add_option("kind", args.kind, "profile, service, route, organisation or key")
        ->required()
        ->check(CLI::IsMember({"profile", "service", "route", "organisation", "key"}));
}

void add_name(CLI::App* command, arguments& args, const char* help)
{
    command->add_option("name", args.name, help)->required();
}

void declare_object_commands(CLI::App& app, arguments& args)
{
    CLI::App* put = add_command(app, args, "put", "write an object", [&args](auto& context) {
        return run_put(context, selected_kind(args), args.file);
    });
    CLI::App* get = add_command(app, args, "get", "print an object", [&args](auto& context) {
        return run_get(context, selected_kind(args), args.name);
    });
    CLI::App* list = add_command(app, args, "list", "print all names", [&args](auto& context) {
        return run_list(context, selected_kind(args));
    });
    CLI::App* diff = add_command(app, args, "diff", "compare with a file", [&args](auto& context) {
        return run_diff(context, selected_kind(args), args.name, args.file);
    });
    CLI::App* withdraw =
        add_command(app, args, "withdraw", "withdraw an object", [&args](auto& context) {
            return run_withdraw(context, selected_kind(args), args.name);
        });
    for (CLI::App* command : {put, get, list, diff, withdraw}) {
        add_kind(command, args);
    }
    for (CLI::App* command : {get, diff, withdraw}) {
        add_name(command, args, "name, organisation identifier or key digest");
    }
    for (CLI::App* command : {put, diff}) {
        command->add_option("file", args.file, "TOML file, or JSON file (.json)")->required();
    }
}

void declare_key_commands(CLI::App& app, arguments& args)
{
    CLI::App* key = app.add_subcommand("key", "grant or withdraw keys");
    key->require_subcommand(1);
    key->fallthrough();
    CLI::App* grant = add_command(*key, args, "grant", "create a key", [&args](auto& context) {
        return run_key_grant(context, args.organisation);
    });
    grant->add_option("--organisation", args.organisation, "its organisation")->required();
    CLI::App* withdraw =
        add_command(*key, args, "withdraw", "withdraw a key",
                    [&args](auto& context) { return run_key_withdraw(context, args.name); });
    add_name(withdraw, args, "digest of the key");
}

void declare_fleet_commands(CLI::App& app, arguments& args)
{
    add_command(app, args, "status", "print all nodes",
                [](auto& context) { return run_status(context.settings); });
    CLI::App* explain =
        add_command(app, args, "explain", "print the evidence on a request",
                    [&args](auto& context) { return run_explain(context.settings, args.name); });
    add_name(explain, args, "identifier of the request");
    CLI::App* lost = add_command(
        app, args, "confirm-lost", "confirm the loss of a node",
        [&args](auto& context) { return run_confirm_lost(context.settings, args.name); });
    add_name(lost, args, "identifier of the node");
}

void declare_command_line(CLI::App& app, arguments& args)
{
    app.set_version_flag("--version", "0.1.0");
    app.add_option("--settings", args.settings, "settings file");
    app.add_flag("--check", args.check, "validate the settings and exit");
    app.add_flag("--wait", args.wait, "wait until all known nodes confirm the change");
    args.if_revision_option = app.add_option("--if-revision", args.if_revision,
                                             "change the object only if it is at this revision");
    app.require_subcommand(0, 1);
    declare_object_commands(app, args);
    declare_key_commands(app, args);
    declare_fleet_commands(app, args);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Controls a dragonflyroad fleet"};
    arguments args;
    declare_command_line(app, args);
    if (const auto code = parse_command_line(app, argc, argv)) {
        return *code;
    }
    const auto settings = load_operator_settings(args.settings);
    if (!settings) {
        fmt::print(stderr, "{}: {}\n", last_failure().peer, last_failure().detail);
        return exit_usage;
    }
    if (args.check) {
        return exit_done;
    }
    if (!args.run) {
        fmt::print(stderr, "no command; --help lists them\n");
        return exit_usage;
    }
    http_store source{*parse_address(settings->store_address)};
    operator_context context{.source = source, .settings = *settings, .if_revision = {}};
    context.wait = args.wait;
    if (args.if_revision_option->count() > 0) {
        context.if_revision = args.if_revision;
    }
    return args.run(context);
}
