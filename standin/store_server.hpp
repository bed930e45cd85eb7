#pragma once

#include "adapters/address.hpp"
#include "standin/store_state.hpp"

#include <memory>
#include <string>

struct mg_context;

namespace dragonflyroad::standin {

/// An HTTP server with the protocol of the platform's key-value service. Faults are injected by
/// POST /v1/fault or through state(); faults do not affect /v1/fault and /v1/calls.
class store_server {
public:
    store_server() = default;
    store_server(const store_server&) = delete;
    store_server& operator=(const store_server&) = delete;
    store_server(store_server&&) = delete;
    store_server& operator=(store_server&&) = delete;
    ~store_server();

    /// Listens on "ip:port"; port 0 lets the system choose. Returns false with last_failure() set
    /// when the address cannot be used.
    bool start(const std::string& address);

    /// The address in use, after start().
    const ip_address& address() const;

    /// Ends pending watches without reply and closes the port. The data is kept for a restart.
    void stop();

    store_state& state();

private:
    std::unique_ptr<store_state> data = std::make_unique<store_state>();
    ip_address bound_address;
    mg_context* server = nullptr;
};

} // namespace dragonflyroad::standin
