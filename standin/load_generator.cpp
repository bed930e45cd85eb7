#include "standin/load_generator.hpp"

#include "core/digest.hpp"
#include "core/failure.hpp"
#include "core/random.hpp"

#include <condition_variable>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <thread>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace dragonflyroad::standin {
namespace {

constexpr std::chrono::seconds response_timeout{30};

/// Sends one organisation's share of requests on a fixed schedule, one at a time, over a persistent
/// connection to each node.
class load_worker {
public:
    load_worker(const load_options& run_options, const organisation_load& target_load,
                std::uint32_t worker_index)
        : options(run_options),
          load(target_load),
          index(worker_index),
          random(stable_hash(target_load.organisation, run_options.seed + worker_index))
    {
        for (const std::string& node : run_options.nodes) {
            auto client = std::make_unique<httplib::Client>("http://" + node);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_connection_timeout(std::chrono::seconds{2});
            client->set_read_timeout(response_timeout);
            this->clients.push_back(std::move(client));
        }
    }

    void run(time_point start)
    {
        const double per_connection = this->load.rate / this->options.connections_per_load;
        const auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{1.0 / per_connection});
        const time_point end = start + this->options.run_for;
        time_point next = start + interval * this->index / this->options.connections_per_load;
        while (next < end) {
            this->sleep_until(next);
            this->send_next();
            next += interval;
        }
    }

    load_report report;

private:
    void sleep_until(time_point wake_time)
    {
        const auto left = wake_time - boot_clock::now();
        if (left > duration::zero()) {
            std::this_thread::sleep_for(left);
        }
    }

    void send_next()
    {
        const std::string token =
            fmt::format("{}-{}-{}", this->load.organisation, this->index, this->sequence++);
        const bool is_unsafe = uniform(this->random) < this->options.unsafe_share;
        this->send_request(token, is_unsafe);
        if (is_unsafe && uniform(this->random) < this->options.resend_share) {
            this->send_request(token, is_unsafe);
        }
    }

    void send_request(const std::string& token, bool is_unsafe)
    {
        httplib::Client& client = *this->clients[this->next_node++ % this->clients.size()];
        httplib::Headers headers{{"Authorization", "Bearer " + this->load.key}, {"X-Token", token}};
        std::string path = is_unsafe && !this->options.unsafe_path.empty()
                               ? this->options.unsafe_path
                               : this->options.path;
        if (this->options.response_bytes > 0) {
            path += fmt::format("?size={}", this->options.response_bytes);
        }
        const time_point sent_at = boot_clock::now();
        ++this->report.sent;
        if (is_unsafe) {
            headers.emplace("Idempotency-Key", token);
            this->record_result(client.Post(path, headers, token, "text/plain"), token);
        }
        else {
            this->record_result(client.Get(path, headers), token);
        }
        this->report.latencies.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(boot_clock::now() - sent_at));
    }

    void record_result(const httplib::Result& result, const std::string& token)
    {
        if (!result) {
            ++(result.error() == httplib::Error::Connection ? this->report.connection_failures
                                                            : this->report.wrong);
            return;
        }
        if (result->get_header_value("Content-Type") == "application/problem+json") {
            const auto problem = nlohmann::json::parse(result->body, nullptr, false);
            const std::string reason =
                problem.is_object() ? problem.value("reason", "unnamed") : "unreadable";
            ++this->report.refusals[reason];
            return;
        }
        const bool has_valid_digest =
            result->get_header_value("X-Digest") == sha256_hex(result->body);
        const bool has_own_token =
            result->body.find("\"token\":\"" + token + "\"") != std::string::npos;
        ++(has_valid_digest && has_own_token ? this->report.answered : this->report.wrong);
    }

    const load_options& options;
    const organisation_load& load;
    std::uint32_t index;
    random_engine random;
    std::vector<std::unique_ptr<httplib::Client>> clients;
    std::uint64_t sequence = 0;
    std::uint64_t next_node = 0;
};

void add_report(load_report& total, const load_report& part)
{
    total.sent += part.sent;
    total.answered += part.answered;
    total.wrong += part.wrong;
    total.connection_failures += part.connection_failures;
    for (const auto& [reason, count] : part.refusals) {
        total.refusals[reason] += count;
    }
    total.latencies.insert(total.latencies.end(), part.latencies.begin(), part.latencies.end());
}

} // namespace

std::optional<organisation_load> parse_organisation_load(const std::string& text)
{
    const auto first = text.find(':');
    const auto second = text.find(':', first == std::string::npos ? first : first + 1);
    if (second == std::string::npos) {
        return fail("parse load", text, "expected organisation:key:rate");
    }
    organisation_load load{text.substr(0, first), text.substr(first + 1, second - first - 1), 0};
    char* end = nullptr;
    load.rate = std::strtod(text.c_str() + second + 1, &end);
    if (*end != '\0' || load.rate <= 0) {
        return fail("parse load", text, "the rate (requests per second) must be a positive number");
    }
    return load;
}

std::map<std::string, load_report> generate_load(const load_options& options)
{
    std::vector<std::unique_ptr<load_worker>> workers;
    std::vector<std::string> organisations;
    for (const organisation_load& load : options.loads) {
        for (std::uint32_t index = 0; index < options.connections_per_load; ++index) {
            workers.push_back(std::make_unique<load_worker>(options, load, index));
            organisations.push_back(load.organisation);
        }
    }
    const time_point start = boot_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (const auto& entry : workers) {
        threads.emplace_back([&entry, start] { entry->run(start); });
    }
    std::map<std::string, load_report> reports;
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        add_report(reports[organisations[index]], workers[index]->report);
    }
    return reports;
}

} // namespace dragonflyroad::standin
