#include "mesh/node_report.hpp"

#include "core/failure.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dragonflyroad {
namespace {

using milliseconds = std::chrono::milliseconds;

milliseconds age(time_point since, time_point now)
{
    return since == time_point{} ? milliseconds{0} : milliseconds_between(since, now);
}

} // namespace

std::string node_report::to_text() const
{
    nlohmann::ordered_json document{
        {"node", this->node.value},
        {"centre", this->centre.value},
        {"service", this->service.value},
        {"ready", this->is_ready},
        {"stopping", this->is_stopping},
        {"revision", this->revision},
        {"in_force_ms", this->in_force_for.count()},
        {"proof_age_ms", nullptr},
        {"source", this->source},
        {"waits_for", this->waits_for},
        {"settings_checksum", this->settings_checksum},
        {"settings_in_force_ms", this->settings_in_force_for.count()},
        {"settings_rejection", this->settings_rejection},
    };
    if (this->proof_age) {
        document["proof_age_ms"] = this->proof_age->count();
    }
    return document.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<node_report> node_report::from_text(const std::string& text,
                                                  const std::string& source)
{
    try {
        const auto document = nlohmann::json::parse(text);
        node_report report;
        report.node = node_id{document.at("node").get<std::string>()};
        report.centre = data_centre{document.at("centre").get<std::string>()};
        report.service = service_name{document.at("service").get<std::string>()};
        report.is_ready = document.at("ready").get<bool>();
        report.is_stopping = document.at("stopping").get<bool>();
        report.revision = document.at("revision").get<revision_number>();
        report.in_force_for = milliseconds{document.at("in_force_ms").get<std::int64_t>()};
        if (!document.at("proof_age_ms").is_null()) {
            report.proof_age = milliseconds{document.at("proof_age_ms").get<std::int64_t>()};
        }
        report.source = document.at("source").get<std::string>();
        report.waits_for = document.at("waits_for").get<std::string>();
        report.settings_checksum = document.at("settings_checksum").get<std::string>();
        report.settings_in_force_for =
            milliseconds{document.at("settings_in_force_ms").get<std::int64_t>()};
        report.settings_rejection = document.at("settings_rejection").get<std::string>();
        return report;
    }
    catch (const nlohmann::json::exception& error) {
        return fail("decode node report", source, error.what());
    }
}

node_report make_report(const replica_status& replica, const settings_status& settings,
                        time_point now)
{
    node_report report;
    report.revision = replica.revision;
    report.in_force_for = age(replica.in_force_since, now);
    if (replica.proved_until != time_point{}) {
        report.proof_age = std::max(age(replica.proved_until, now), milliseconds{0});
    }
    report.source = replica.source;
    report.waits_for = replica.waits_for;
    report.settings_checksum = settings.checksum;
    report.settings_in_force_for = age(settings.in_force_since, now);
    report.settings_rejection = settings.rejection;
    return report;
}

std::string reason_behind(const node_report& report, revision_number newest)
{
    if (report.revision < newest) {
        return fmt::format("configuration {} instead of {}, waits for {}", report.revision, newest,
                           report.waits_for.empty() ? "the change to arrive" : report.waits_for);
    }
    if (!report.waits_for.empty()) {
        return "waits for " + report.waits_for;
    }
    if (!report.settings_rejection.empty()) {
        return "settings file rejected: " + report.settings_rejection;
    }
    return {};
}

} // namespace dragonflyroad
