#include "adapters/command_line.hpp"

namespace dragonflyroad {

std::optional<int> parse_command_line(CLI::App& app, int argc, const char* const* argv)
{
    try {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? exit_done : exit_usage;
    }
    return std::nullopt;
}

} // namespace dragonflyroad
