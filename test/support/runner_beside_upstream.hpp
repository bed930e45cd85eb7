#pragma once

#include "mesh/upstream_runner.hpp"
#include "platform/node_settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

/// The node beside an upstream, without a network: replies to reservations are collected.
struct runner_beside_upstream {
    runner_beside_upstream()
    {
        this->runner.on_change([] {});
    }

    void start_upstream(const std::string& id, const std::string& service, std::uint32_t slots = 1,
                        const std::string& address = "127.0.0.1:1")
    {
        dragonflyroad::upstream_check_in report;
        report.id = id;
        report.address = address;
        report.service = dragonflyroad::service_name{service};
        report.slots = slots;
        report.sequence = 1;
        report.started_at = ++this->born;
        this->runner.apply_check_in(report);
    }

    void reserve(dragonflyroad::run_id id)
    {
        dragonflyroad::reserve_message message;
        message.id = id;
        message.service = dragonflyroad::service_name{"books"};
        message.start_within = std::chrono::seconds{60};
        message.expected_run = std::chrono::milliseconds{100};
        this->runner.receive(dragonflyroad::node_id{"caller"}, message, this->collect);
    }

    std::size_t offers(dragonflyroad::run_id id) const
    {
        std::size_t count = 0;
        for (const dragonflyroad::link_message& reply : this->replies) {
            const auto* accepted = std::get_if<dragonflyroad::reservation_accepted_message>(&reply);
            count += accepted != nullptr && accepted->id == id && accepted->is_offer ? 1U : 0U;
        }
        return count;
    }

    bool is_declined(dragonflyroad::run_id id, dragonflyroad::decline_reason reason =
                                                   dragonflyroad::decline_reason::no_upstream) const
    {
        for (const dragonflyroad::link_message& reply : this->replies) {
            const auto* declined = std::get_if<dragonflyroad::reservation_declined_message>(&reply);
            if (declined != nullptr && declined->id == id && declined->reason == reason) {
                return true;
            }
        }
        return false;
    }

    boost::asio::io_context loop;
    dragonflyroad::header_names names = dragonflyroad::platform::platform_header_names();
    dragonflyroad::crash_guard guard;
    std::vector<dragonflyroad::link_message> replies;
    dragonflyroad::upstream_runner::reply_function collect =
        [this](const dragonflyroad::link_message& reply) { this->replies.push_back(reply); };
    dragonflyroad::upstream_runner runner{
        loop, names, {}, 64U << 20U, [](const dragonflyroad::service_name&) { return 1U; }, guard};
    std::int64_t born = 0;
};
