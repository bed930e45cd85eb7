#include "standin/callers.hpp"

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

constexpr std::chrono::seconds answer_timeout{30};

/// One connection's worth of callers of an organisation.
class caller {
public:
    caller(const callers_options& run_options, const caller_group& own_group,
           std::uint32_t own_index)
        : options(run_options),
          group(own_group),
          index(own_index),
          random(stable_hash(own_group.organisation, run_options.seed + own_index))
    {
        for (const std::string& node : run_options.nodes) {
            auto client = std::make_unique<httplib::Client>("http://" + node);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            client->set_connection_timeout(std::chrono::seconds{2});
            client->set_read_timeout(answer_timeout);
            this->clients.push_back(std::move(client));
        }
    }

    void run(time_point start)
    {
        const double per_connection = this->group.rate / this->options.connections_per_group;
        const auto interval = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{1.0 / per_connection});
        const time_point end = start + this->options.run_for;
        time_point next = start + interval * this->index / this->options.connections_per_group;
        while (next < end) {
            this->wait_until(next);
            this->send_one();
            next += interval;
        }
    }

    caller_report report;

private:
    void wait_until(time_point moment)
    {
        const auto left = moment - boot_clock::now();
        if (left > duration::zero()) {
            std::this_thread::sleep_for(left);
        }
    }

    void send_one()
    {
        const std::string token =
            fmt::format("{}-{}-{}", this->group.organisation, this->index, this->sequence++);
        const bool is_unsafe = uniform(this->random) < this->options.unsafe_share;
        this->exchange(token, is_unsafe);
        if (is_unsafe && uniform(this->random) < this->options.resend_share) {
            this->exchange(token, is_unsafe);
        }
    }

    void exchange(const std::string& token, bool is_unsafe)
    {
        httplib::Client& client = *this->clients[this->turn++ % this->clients.size()];
        httplib::Headers headers{{"Authorization", "Bearer " + this->group.key},
                                 {"X-Token", token}};
        std::string path = is_unsafe && !this->options.unsafe_path.empty()
                               ? this->options.unsafe_path
                               : this->options.path;
        if (this->options.response_bytes > 0) {
            path += fmt::format("?size={}", this->options.response_bytes);
        }
        const time_point begin = boot_clock::now();
        ++this->report.sent;
        if (is_unsafe) {
            headers.emplace("Idempotency-Key", token);
            this->judge(client.Post(path, headers, token, "text/plain"), token);
        }
        else {
            this->judge(client.Get(path, headers), token);
        }
        this->report.latencies.push_back(
            std::chrono::duration_cast<std::chrono::microseconds>(boot_clock::now() - begin));
    }

    void judge(const httplib::Result& result, const std::string& token)
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
        const bool is_whole = result->get_header_value("X-Digest") == sha256_hex(result->body);
        const bool is_own = result->body.find("\"token\":\"" + token + "\"") != std::string::npos;
        ++(is_whole && is_own ? this->report.answered : this->report.wrong);
    }

    const callers_options& options;
    const caller_group& group;
    std::uint32_t index;
    random_engine random;
    std::vector<std::unique_ptr<httplib::Client>> clients;
    std::uint64_t sequence = 0;
    std::uint64_t turn = 0;
};

void merge(caller_report& total, const caller_report& part)
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

std::optional<caller_group> parse_group(const std::string& text)
{
    const auto first = text.find(':');
    const auto second = text.find(':', first == std::string::npos ? first : first + 1);
    if (second == std::string::npos) {
        return fail("parse load", text, "expected organisation:key:rate");
    }
    caller_group group{text.substr(0, first), text.substr(first + 1, second - first - 1), 0};
    char* end = nullptr;
    group.rate = std::strtod(text.c_str() + second + 1, &end);
    if (*end != '\0' || group.rate <= 0) {
        return fail("parse load", text, "the rate must be a positive number");
    }
    return group;
}

std::map<std::string, caller_report> run_callers(const callers_options& options)
{
    std::vector<std::unique_ptr<caller>> callers;
    std::vector<std::string> owners;
    for (const caller_group& group : options.groups) {
        for (std::uint32_t index = 0; index < options.connections_per_group; ++index) {
            callers.push_back(std::make_unique<caller>(options, group, index));
            owners.push_back(group.organisation);
        }
    }
    const time_point start = boot_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(callers.size());
    for (const auto& entry : callers) {
        threads.emplace_back([&entry, start] { entry->run(start); });
    }
    std::map<std::string, caller_report> reports;
    for (std::size_t index = 0; index < threads.size(); ++index) {
        threads[index].join();
        merge(reports[owners[index]], callers[index]->report);
    }
    return reports;
}

} // namespace dragonflyroad::standin
