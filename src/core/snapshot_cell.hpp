#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace dragonflyroad {

/// Read-copy-update cell for one value: readers obtain an immutable snapshot and the single writer
/// replaces it. A replaced snapshot is destroyed when its last reader releases it.
template<typename T>
class snapshot_cell {
public:
    snapshot_cell() : current(std::make_shared<const T>()) {}
    explicit snapshot_cell(T value) : current(std::make_shared<const T>(std::move(value))) {}

    std::shared_ptr<const T> read() const { return this->current.load(std::memory_order_acquire); }

    void publish(T value)
    {
        this->current.store(std::make_shared<const T>(std::move(value)), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const T>> current;
};

} // namespace dragonflyroad
