#include "test_ports.hpp"

#include "mesh/listener.hpp"

#include <string>

#include <boost/asio/io_context.hpp>

using namespace dragonflyroad;

namespace {

constexpr int lowest_port = 23100;
constexpr int ports_per_process = 200;
constexpr int max_processes = 30;

/// The first free range of ports. Listening at the first port of the range claims it for the life
/// of this process.
class port_range {
public:
    port_range() : claim(this->loop)
    {
        for (int process = 0; process < max_processes; ++process) {
            this->first = lowest_port + process * ports_per_process;
            this->claim = boost::asio::ip::tcp::acceptor{this->loop};
            if (open_listener(this->claim, "127.0.0.1:" + std::to_string(this->first))) {
                return;
            }
        }
    }

    int first_free_port() const { return this->first + 10; }

private:
    boost::asio::io_context loop;
    boost::asio::ip::tcp::acceptor claim;
    int first = 0;
};

} // namespace

int first_test_port()
{
    static const port_range ports;
    return ports.first_free_port();
}
