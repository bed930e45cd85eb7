#pragma once

#include "core/random.hpp"
#include "limits/ledger_codec.hpp"
#include "limits/seat_controller.hpp"
#include "test/support/event_loop.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyroad::test {

using namespace std::chrono_literals;

/// A simulated store of the ledger under manual time, with outages, lost replies, late writes,
/// repeated writes and stale reads.
class ledger_store {
public:
    ledger_store(event_loop& loop, random_engine& engine) : events(loop), random(engine) {}

    bool up = true;
    /// Probability of each fault per call, from 0 to 1.
    double lost_reply = 0;
    double late_write = 0;
    double stale_read = 0;
    double repeated_write = 0;
    std::uint64_t writes = 0;
    std::uint64_t calls = 0;

    using write_reply = std::function<void(ledger_write_outcome, std::uint64_t)>;
    using read_reply = std::function<void(bool, std::optional<ledger>, std::uint64_t)>;

    void write(const ledger_write& request, const write_reply& reply)
    {
        constexpr auto timeout = 1s;
        const bool late = this->occurs(this->late_write);
        const bool again = this->occurs(this->repeated_write);
        const bool lost = late || this->occurs(this->lost_reply);
        const std::string bytes = encode(request.book);
        const std::uint64_t expected = request.expected_version;
        ++this->calls;
        this->events.after(late ? this->random_delay(4s) : this->random_delay(10ms), [=, this] {
            auto outcome = this->apply(bytes, expected);
            if (again && outcome == ledger_write_outcome::written) {
                outcome = this->apply(bytes, expected);
            }
            if (!lost && outcome != ledger_write_outcome::unknown) {
                const std::uint64_t version = this->history.size();
                this->events.after(this->random_delay(10ms), [=] { reply(outcome, version); });
            }
            else if (!late) {
                this->events.after(timeout, [=] { reply(ledger_write_outcome::unknown, 0); });
            }
        });
        if (late) {
            this->events.after(timeout, [=] { reply(ledger_write_outcome::unknown, 0); });
        }
    }

    void read(const read_reply& reply)
    {
        ++this->calls;
        this->events.after(this->random_delay(10ms), [=, this] {
            if (!this->up) {
                this->events.after(1s, [=] { reply(false, std::nullopt, 0); });
                return;
            }
            std::size_t version = this->history.size();
            if (version > 1 && this->occurs(this->stale_read)) {
                version -= uniform_index(this->random, std::min<std::size_t>(version, 4));
            }
            auto book = version == 0 ? std::nullopt : decode_ledger(this->history[version - 1]);
            this->events.after(this->random_delay(10ms), [=] { reply(true, book, version); });
        });
    }

    /// Stores a ledger at once, for scenarios that begin with a settled fleet.
    void seed(const ledger& book) { this->history.push_back(encode(book)); }
    std::optional<ledger> current() const
    {
        return this->history.empty() ? std::nullopt : decode_ledger(this->history.back());
    }

private:
    bool occurs(double probability) { return uniform(this->random) < probability; }
    duration random_delay(duration longest)
    {
        return duration{static_cast<std::int64_t>(uniform(this->random) *
                                                  static_cast<double>(longest.count()))};
    }
    ledger_write_outcome apply(const std::string& bytes, std::uint64_t expected)
    {
        if (!this->up) {
            return ledger_write_outcome::unknown;
        }
        if (expected != this->history.size()) {
            return ledger_write_outcome::conflict;
        }
        this->history.push_back(bytes);
        ++this->writes;
        return ledger_write_outcome::written;
    }

    event_loop& events;
    random_engine& random;
    /// All values written so far; the version of a value is its index plus one.
    std::vector<std::string> history;
};

} // namespace dragonflyroad::test
