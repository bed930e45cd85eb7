#pragma once

#include "core/clock.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonflyroad {

/// Decisions made for one request, in order, for `dragonflyroad explain`.
struct request_record {
    std::string id;
    std::string organisation;
    std::string service;
    std::string method;
    std::string path;
    /// Reason code of the refusal, or "answered".
    std::string result;
    std::string executed;
    int status = 0;
    std::chrono::microseconds elapsed{};
    std::vector<std::string> steps;
};

/// The most recent request records by id. When full, the oldest record is removed. Thread-safe.
class explain_log {
public:
    explicit explain_log(std::size_t max_records) : capacity(max_records) {}

    void add(request_record record);
    std::optional<request_record> find(const std::string& id) const;

private:
    std::size_t capacity;
    mutable std::mutex mutex;
    std::deque<std::string> order;
    std::unordered_map<std::string, request_record> records;
};

std::string to_json(const request_record& record);

} // namespace dragonflyroad
