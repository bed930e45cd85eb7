#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Whether the case runs with its disruption: not with TROUBLE=0 in the environment.
bool has_trouble();

/// The time since the start of the case.
std::chrono::milliseconds elapsed();

/// Writes lines with the time since the start of the case to record.txt.
class record {
public:
    explicit record(const std::string& path) : file(path) {}

    void add(const std::string& line);

private:
    std::mutex mutex;
    std::ofstream file;
};

} // namespace review
