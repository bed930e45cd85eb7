#include "adapters/settings.hpp"
#include "core/failure.hpp"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace dragonflyroad;

namespace {

const std::string valid_node = "[node]\n"
                               "id = \"n1\"\n"
                               "data_centre = \"north\"\n"
                               "caller_address = \"127.0.0.1:0\"\n"
                               "peer_address = \"127.0.0.1:7001\"\n"
                               "admin_address = \"[::1]:0\"\n"
                               "[fleet]\n"
                               "secret = \"0123456789abcdef\"\n"
                               "seeds = [\"127.0.0.1:7002\"]\n"
                               "[store]\n"
                               "address = \"127.0.0.1:9000\"\n";

std::optional<node_settings> load(const std::string& text)
{
    const auto path = std::filesystem::temp_directory_path() /
                      ("dragonflyroad_settings_" + std::to_string(getpid()) + ".toml");
    std::ofstream{path} << text;
    auto settings = load_node_settings(path.string());
    std::filesystem::remove(path);
    return settings;
}

std::string replace(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

bool detail_contains(const std::string& part)
{
    return last_failure().detail.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("valid node settings are read with their defaults")
{
    const auto settings = load(valid_node);
    REQUIRE(settings);
    CHECK(settings->id.value == "n1");
    CHECK(settings->admin_address == "[::1]:0");
    CHECK(settings->seeds == std::vector<std::string>{"127.0.0.1:7002"});
    CHECK(settings->max_header_bytes == 16384);
}

// Guards against a misspelled key that silently leaves the default in force.
TEST_CASE("the error for an unknown key names its line and the known keys")
{
    CHECK_FALSE(load(valid_node + "[process]\nworker_thread = 4\n"));
    CHECK(detail_contains("line 13: process.worker_thread"));
    CHECK(detail_contains("process.worker_threads"));
}

// Guards against error messages that do not name the invalid value or the allowed ones.
TEST_CASE("the error for an invalid value names the key, the value and the allowed values")
{
    CHECK_FALSE(load(replace(valid_node, "127.0.0.1:7001", "localhost:7001")));
    CHECK(detail_contains(
        "line 5: node.peer_address: found \"localhost:7001\"; allowed: \"ip:port\""));
    CHECK_FALSE(load(replace(valid_node, "127.0.0.1:9000", "127.0.0.1:0")));
    CHECK(detail_contains("line 11: store.address"));
    CHECK_FALSE(load(valid_node + "[process]\nworker_threads = 0\n"));
    CHECK(detail_contains("found 0; allowed: a whole number from 1 to 1024"));
    CHECK_FALSE(load(replace(valid_node, "id = \"n1\"\n", "")));
    CHECK(detail_contains("node.id: found nothing"));
    CHECK_FALSE(load("[node\n"));
    CHECK(detail_contains("line 1"));
}

// Guards against a secret that is short enough to guess, and against printing it in an error
// message.
TEST_CASE("the error for a short secret does not contain the secret")
{
    CHECK_FALSE(load(replace(valid_node, "0123456789abcdef", "0123456789abcde")));
    CHECK(detail_contains("line 8: fleet.secret: found a text of 15 characters"));
    CHECK_FALSE(detail_contains("0123456789"));
}
