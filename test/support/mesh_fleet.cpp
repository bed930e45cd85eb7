#include "mesh_fleet.hpp"

#include "platform/check_in.hpp"
#include "platform/configuration_decoder.hpp"
#include "test_ports.hpp"

#include <array>
#include <cstdint>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

using namespace dragonflyroad;

namespace {

/// Each VM uses three consecutive ports.
constexpr int ports_per_vm = 3;

/// Run time of an upstream that answers late, within the requests' deadline of 1.5 s.
constexpr std::chrono::milliseconds late_by{400};

std::string address_of(std::size_t vm, int offset)
{
    return "127.0.0.1:" +
           std::to_string(first_test_port() + static_cast<int>(vm) * ports_per_vm + offset);
}

mesh_settings settings_of(std::size_t vm, std::chrono::milliseconds stop_timeout)
{
    mesh_settings settings;
    settings.node = node_id{"vm-" + std::to_string(vm)};
    settings.centre = data_centre{vm % 2 == 0 ? "ikeja" : "lekki"};
    settings.caller_service = service_name{"books"};
    settings.caller_address = address_of(vm, 0);
    settings.peer_address = address_of(vm, 1);
    settings.stop_timeout = stop_timeout;
    settings.configuration_key = "op/config";
    settings.keys.evacuation_prefix = "op/evacuate/";
    settings.cold_tolerance.overage = 1.5;
    settings.cold_tolerance.slack = 2;
    settings.names = platform::platform_header_names();
    return settings;
}

} // namespace

/// A run that the upstream never answers. Counts the cancellation when its connection closes.
class unanswered_run : public served_request {
public:
    explicit unanswered_run(loopback_upstream& owner) : upstream(owner) {}
    void cancel() override { ++this->upstream.cancelled; }

private:
    loopback_upstream& upstream;
};

loopback_upstream::loopback_upstream(boost::asio::io_context& loop, std::string upstream_name)
    : context(loop),
      name(std::move(upstream_name)),
      server(loop, server_callbacks{
                       [this](const http_request& request, time_point, response_function answer) {
                           return this->serve(request, std::move(answer));
                       },
                       [](const request_head&) { return false; },
                       [](decode_state) {
                           return http_response{400, {}, "", false};
                       },
                       [] { return caller_limits{}; }})
{
}

std::shared_ptr<served_request> loopback_upstream::serve(const http_request& request,
                                                         response_function answer)
{
    const std::string id{find_header(request.head.headers, "X-Attempt-Id").value_or("")};
    http_response result{200, {{"X-Attempt-Id", id}}, this->name, true};
    if (this->behaviour == upstream_behaviour::refuses) {
        result.status = 503;
        result.headers.push_back({"X-Not-Executed", "1"});
        answer(std::move(result));
        return nullptr;
    }
    this->runs.push_back(request);
    if (this->behaviour == upstream_behaviour::never_answers) {
        return std::make_shared<unanswered_run>(*this);
    }
    result.status = this->behaviour == upstream_behaviour::fails ? 500 : 200;
    result.headers.push_back({"X-Response-Signature", "signed"});
    if (this->behaviour == upstream_behaviour::answers_late) {
        const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, late_by);
        timer->async_wait([timer, result, answer](const boost::system::error_code&) mutable {
            answer(std::move(result));
        });
        return nullptr;
    }
    answer(std::move(result));
    return nullptr;
}

mesh_fleet::mesh_fleet(std::size_t count, std::chrono::milliseconds stop_timeout)
    : node_stop_timeout(stop_timeout)
{
    this->configure("r1", {"first-key"});
    for (std::size_t index = 0; index < count; ++index) {
        loopback_vm vm;
        vm.upstream_address = address_of(index, 2);
        vm.upstream =
            std::make_unique<loopback_upstream>(this->context, "upstream-" + std::to_string(index));
        vm.upstream->listen(vm.upstream_address);
        vm.store = std::make_unique<store_port>(this->store);
        vm.node = std::make_unique<mesh_node>(this->context, settings_of(index, stop_timeout),
                                              *vm.store, platform::decode_configuration);
        vm.node->start();
        vm.callers = std::make_unique<http_client_pool>(this->context, 1U << 20U, 64U << 20U);
        vm.callers->set_address(address_of(index, 0));
        this->vms.push_back(std::move(vm));
    }
    for (std::size_t index = 0; index < count; ++index) {
        this->check_in(index, "ready", 1);
    }
    this->run_until([this] { return this->vms.front().node->is_ready(); });
    this->run_until([this, count] {
        return this->store.count("dragonflyroad/quota/") == quota_group_count &&
               this->store.count("dragonflyroad/vm/") == count;
    });
    // Waits until every node has read what the others wrote.
    this->run_until([] { return false; }, std::chrono::milliseconds{1'100});
}

void mesh_fleet::configure(const std::string& version, const std::vector<std::string>& keys)
{
    const auto route = [](const char* kind, const char* prefix) {
        return nlohmann::json{
            {"host", "books.example"}, {"prefix", prefix},          {"kind", kind},
            {"timeout", "2s"},         {"latency_objective", "1s"}, {"priority", 1},
            {"service", "books"},      {"max_attempts", 2},         {"public", false}};
    };
    const nlohmann::json document{
        {"version", version},
        {"routes", {{"read", route("safe", "/read/")}, {"submit", route("unsafe", "/submit/")}}},
        {"tenants", {{"council", {{"api_keys", keys}, {"rate_per_s", 100}, {"burst", 100}}}}}};
    this->store.put("op/config", document.dump());
}

void mesh_fleet::restart_node(std::size_t index)
{
    loopback_vm& vm = this->vms[index];
    bool is_stopped = false;
    vm.node->stop([&] { is_stopped = true; });
    this->run_until([&] { return is_stopped; });
    vm.store->set_refused(true);
    this->stopped_nodes.emplace_back(std::move(vm.store), std::move(vm.node));
    vm.store = std::make_unique<store_port>(this->store);
    vm.node =
        std::make_unique<mesh_node>(this->context, settings_of(index, this->node_stop_timeout),
                                    *vm.store, platform::decode_configuration);
    vm.node->start();
}

void mesh_fleet::check_in(std::size_t vm, const std::string& state, std::int64_t sequence,
                          std::int64_t born, const std::string& cold_remaining)
{
    const nlohmann::json body{
        {"address", this->vms[vm].upstream_address},
        {"born", born},
        {"info", {{"service", "books"}, {"version", "v1"}, {"zone", "ikeja"}, {"slots", 2}}},
        {"status", {{"state", state}, {"sequence", sequence}, {"cold_remaining", cold_remaining}}}};
    const auto report = platform::decode_check_in("upstream-" + std::to_string(vm), body.dump());
    this->vms[vm].node->apply_check_in(*report);
}

bool mesh_fleet::run_until(const std::function<bool()>& condition, std::chrono::milliseconds limit)
{
    const time_point end = boot_clock::now() + limit;
    while (!condition()) {
        if (boot_clock::now() > end) {
            return false;
        }
        this->context.run_for(std::chrono::milliseconds{5});
    }
    return true;
}

std::shared_ptr<client_connection>
mesh_fleet::start(std::size_t vm, const std::string& method,
                  std::function<void(client_exchange_result)> done)
{
    static int requests = 0;
    this->last_id = "request-" + std::to_string(++requests);
    request_head head;
    head.method = method;
    head.target = method == "GET" ? "/read/item" : "/submit/item";
    head.headers = {{"Host", "books.example"},
                    {"X-Attempt-Id", this->last_id},
                    {"X-Deadline-Ms", "1500"},
                    {"Api-Key", "first-key"},
                    {"X-Tenant-Id", "forged"}};
    client_exchange_request request;
    request.bytes = encode_request(head, method == "GET" ? "" : "body");
    request.method = method;
    request.deadline = boot_clock::now() + std::chrono::seconds{4};
    request.max_idle = this->callers_max_idle;
    return this->vms[vm].callers->start(std::move(request), std::move(done));
}

std::string mesh_fleet::converse(std::size_t vm, const std::string& bytes,
                                 const std::function<void()>& then)
{
    using tcp = boost::asio::ip::tcp;
    tcp::socket caller{this->context};
    const auto port = first_test_port() + static_cast<int>(vm) * ports_per_vm;
    caller.connect({boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)});
    boost::asio::write(caller, boost::asio::buffer(bytes));
    this->run_until([] { return false; }, std::chrono::milliseconds{150});
    then();
    caller.non_blocking(true);
    std::string received;
    this->run_until([&] {
        std::array<char, 4096> part{};
        boost::system::error_code error;
        received.append(part.data(), caller.read_some(boost::asio::buffer(part), error));
        return error && error != boost::asio::error::would_block;
    });
    return received;
}

client_exchange_result mesh_fleet::exchange(std::size_t vm, const std::string& method)
{
    std::optional<client_exchange_result> result;
    this->start(vm, method, [&](client_exchange_result end) { result = std::move(end); });
    this->run_until([&] { return result.has_value(); });
    return result.value_or(client_exchange_result{});
}

std::size_t mesh_fleet::total_runs() const
{
    std::size_t total = 0;
    for (const loopback_vm& vm : this->vms) {
        total += vm.upstream->runs.size();
    }
    return total;
}
