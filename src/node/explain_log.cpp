#include "node/explain_log.hpp"

#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflyroad {

void explain_log::add(request_record record)
{
    const std::scoped_lock lock{this->mutex};
    if (this->order.size() == this->capacity) {
        this->records.erase(this->order.front());
        this->order.pop_front();
    }
    this->order.push_back(record.id);
    std::string id = record.id;
    this->records.insert_or_assign(std::move(id), std::move(record));
}

std::optional<request_record> explain_log::find(const std::string& id) const
{
    const std::scoped_lock lock{this->mutex};
    const auto found = this->records.find(id);
    return found == this->records.end() ? std::nullopt : std::optional{found->second};
}

std::string to_json(const request_record& record)
{
    nlohmann::ordered_json body;
    body["id"] = record.id;
    body["organisation"] = record.organisation;
    body["service"] = record.service;
    body["method"] = record.method;
    body["path"] = record.path;
    body["result"] = record.result;
    body["ran"] = record.executed;
    body["status"] = record.status;
    body["elapsed_us"] = record.elapsed.count();
    body["steps"] = record.steps;
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace dragonflyroad
