#pragma once

#include "net.hpp"

#include <fstream>
#include <mutex>
#include <string>

namespace review2 {

/// What was sent, answered and run, one line each, with the seconds since the start.
class record {
public:
    explicit record(const std::string& path) : file(path, std::ios::trunc) {}

    void add(const std::string& who, const std::string& what)
    {
        const std::scoped_lock lock{this->mutex};
        const std::chrono::duration<double> at = steady::now() - this->start;
        this->file << std::fixed << at.count() << ' ' << who << ": " << what << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    steady::time_point start = steady::now();
};

} // namespace review2
