#pragma once

#include "claims/claim_table.hpp"
#include "limits/seat_controller.hpp"
#include "test/support/ledger_store.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dragonflyroad::test {

/// Simulates nodes that run the decision logic of src/limits and src/claims under manual time.
/// Pings, loans and hand-overs pass through a simulated network with delay, loss, duplication and
/// one-way partitions; reads and writes of the ledger go to a simulated store with faults of its
/// own. The class replaces only the I/O of a node and makes no decisions.
class limits_fleet {
public:
    struct settings {
        std::size_t nodes = 6;
        std::size_t centres = 3;
        duration delay = 1500us;
        double loss = 0;
        double duplication = 0;
        /// Upper bound of the additional, uniformly distributed delay of a message.
        duration jitter = 200us;
        /// Clock rates differ from true time by up to this fraction.
        double drift = 0;
        bool claims = false;
    };

    struct machine {
        std::size_t index = 0;
        node_id name;
        data_centre centre;
        double clock_rate = 1;
        duration clock_offset{};
        bool up = false;
        bool paused = false;
        incarnation run = 0;
        std::unique_ptr<node_quota> quota;
        std::unique_ptr<seat_controller> controller;
        std::unique_ptr<claim_table> claims;
        std::map<seat_key, time_point> heard;
        std::map<seat_key, time_point> two_way;
        /// Actions that became due while the node was paused.
        std::vector<std::function<void()>> deferred_actions;
        struct waiting_request {
            const organisation* limits;
            time_point deadline;
            std::function<void(admission)> done;
        };
        std::deque<waiting_request> waiting;
    };

    limits_fleet(settings chosen, std::vector<organisation> tenants, random_engine& engine)
        : options(chosen),
          organisations(std::move(tenants)),
          random(engine),
          store(this->events, engine)
    {
        for (std::size_t index = 0; index < this->options.nodes; ++index) {
            auto node = std::make_unique<machine>();
            node->index = index;
            node->name = node_id{"node-" + std::to_string(index)};
            node->centre = data_centre{"dc-" + std::to_string(index % this->options.centres)};
            this->machines.push_back(std::move(node));
        }
        this->cut.assign(this->options.nodes, std::vector<bool>(this->options.nodes, false));
    }

    /// Starts the node under a new run number.
    void start(std::size_t index)
    {
        machine& node = *this->machines[index];
        node.up = true;
        node.paused = false;
        node.run = this->random() | 1U;
        node.clock_rate = 1 + this->options.drift * (2 * uniform(this->random) - 1);
        node.clock_offset = std::chrono::seconds{uniform_index(this->random, 100'000)};
        node.heard.clear();
        node.two_way.clear();
        node.deferred_actions.clear();
        node.waiting.clear();
        const seat_key key{node.name, node.run};
        node.quota = std::make_unique<node_quota>(key);
        node.controller =
            std::make_unique<seat_controller>(key, node.centre, "127.0.0.1:1", *node.quota);
        node.claims = std::make_unique<claim_table>(key, 100'000, 120s);
        this->schedule_periodic(node, 100ms, [this](machine& n) { this->run_control_step(n); });
        this->schedule_periodic(node, 500ms, [this](machine& n) { this->ping_peers(n); });
        this->schedule_periodic(node, 10ms, [this](machine& n) { this->exchange_loans(n); });
    }

    /// Starts all nodes with equal shares of the units, as in a settled fleet.
    void start_settled()
    {
        ledger book;
        for (std::size_t index = 0; index < this->options.nodes; ++index) {
            this->start(index);
            machine& node = *this->machines[index];
            seat entry;
            entry.holder = node.controller->key();
            entry.centre = node.centre;
            book = *join(book, entry, fair_units(this->options.nodes));
        }
        book.free_units = 0;
        book.seats.front().units += total_units - book.sum();
        for (seat& entry : book.seats) {
            entry.witnesses = choose_witnesses(book, entry.holder, entry.centre, {});
        }
        this->store.seed(book);
        for (auto& node : this->machines) {
            node->controller->record_read(book, 1, this->local(*node));
            node->claims->set_seats(book, this->local(*node));
        }
    }

    void kill(std::size_t index)
    {
        machine& node = *this->machines[index];
        node.up = false;
        node.run = 0;
        for (auto& request : node.waiting) {
            request.done(admission::unproved);
        }
        node.waiting.clear();
    }
    void pause(std::size_t index) { this->machines[index]->paused = true; }
    void resume(std::size_t index)
    {
        machine& node = *this->machines[index];
        node.paused = false;
        // Datagrams queued in the kernel arrive in any order; the clock ran on during the pause.
        std::shuffle(node.deferred_actions.begin(), node.deferred_actions.end(), this->random);
        for (auto& action : std::exchange(node.deferred_actions, {})) {
            action();
        }
    }

    time_point local(const machine& node) const
    {
        const auto since = this->events.now().time_since_epoch().count();
        return time_point{duration{
                   static_cast<std::int64_t>(static_cast<double>(since) * node.clock_rate)}} +
               node.clock_offset;
    }

    /// Sends a request of an organisation to a node. Calls `done` once, before it returns or later.
    void request(machine& node, const organisation& limits, std::function<void(admission)> done)
    {
        const admission result = node.up && !node.paused
                                     ? node.quota->admit(limits, this->local(node))
                                     : admission::unproved;
        if (result != admission::wait) {
            done(result);
            return;
        }
        node.waiting.push_back({&limits, this->local(node) + admission_wait, std::move(done)});
        this->exchange_urgent_loans(node);
    }

    void send(machine& from, const seat_key& to, std::function<void(machine&)> action)
    {
        const auto place = std::find_if(this->machines.begin(), this->machines.end(),
                                        [&](const auto& node) { return node->name == to.node; });
        if (place == this->machines.end() || this->cut[from.index][(*place)->index] ||
            uniform(this->random) < this->options.loss) {
            return;
        }
        const int copies = uniform(this->random) < this->options.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const duration extra{static_cast<std::int64_t>(
                uniform(this->random) * static_cast<double>(this->options.jitter.count()))};
            this->deliver(**place, to.node_incarnation, this->options.delay + extra, action);
        }
        ++this->messages;
    }

    /// Runs an action at a node after a delay, unless this run of the node has ended by then. A
    /// paused node runs it on resume.
    void deliver(machine& node, incarnation run, duration delay,
                 const std::function<void(machine&)>& action)
    {
        this->events.after(delay, [&node, run, action] {
            if (!node.up || node.run != run) {
                return;
            }
            if (node.paused) {
                node.deferred_actions.push_back([&node, run, action] {
                    if (node.up && node.run == run) {
                        action(node);
                    }
                });
                return;
            }
            action(node);
        });
    }

    settings options;
    std::vector<organisation> organisations;
    random_engine& random;
    event_loop events;
    ledger_store store;
    std::vector<std::unique_ptr<machine>> machines;
    /// cut[from][to]: whether messages in this direction are lost.
    std::vector<std::vector<bool>> cut;
    std::uint64_t messages = 0;

private:
    void schedule_periodic(machine& node, duration interval, std::function<void(machine&)> action)
    {
        const incarnation run = node.run;
        const duration first{static_cast<std::int64_t>(uniform(this->random) *
                                                       static_cast<double>(interval.count()))};
        this->schedule_next(node, run, first, interval, std::move(action));
    }
    void schedule_next(machine& node, incarnation run, duration delay, duration interval,
                       std::function<void(machine&)> action)
    {
        this->events.after(delay, [this, &node, run, interval, action = std::move(action)] {
            if (!node.up || node.run != run) {
                return;
            }
            if (!node.paused) {
                action(node);
            }
            this->schedule_next(node, run, interval, interval, action);
        });
    }

    std::vector<seat_peer> peers(const machine& node) const
    {
        std::vector<seat_peer> known;
        for (const auto& [key, when] : node.heard) {
            const auto proof = node.two_way.find(key);
            const bool fresh =
                proof != node.two_way.end() && this->local(node) - proof->second < 3s;
            known.push_back({key, when, fresh});
        }
        return known;
    }

    void run_control_step(machine& node)
    {
        const time_point now = this->local(node);
        seat_actions step = node.controller->step(this->peers(node), this->random, now);
        if (step.seat_lost) {
            const seat_key next{node.name, node.run};
            const incarnation run = this->random() | 1U;
            this->continue_with_incarnation(node, {next.node, run});
            return;
        }
        if (step.needs_proof) {
            this->ping_peers(node);
        }
        const incarnation run = node.run;
        if (step.write) {
            this->store.write(*step.write, [this, &node, run](auto outcome, auto version) {
                this->deliver(node, run, 0ms, [=, this](machine& n) {
                    n.controller->record_write_outcome(outcome, version, this->local(n));
                });
            });
        }
        if (step.read_ledger) {
            this->store.read([this, &node, run](bool answered, auto book, auto version) {
                this->deliver(node, run, 0ms, [=, this](machine& n) {
                    answered ? n.controller->record_read(book, version, this->local(n))
                             : n.controller->record_read_failure(this->local(n));
                });
            });
        }
        this->request_consents(node, step);
        node.quota->evict(now);
        if (this->options.claims) {
            this->hand_over_claims(node);
        }
    }

    /// Continues under a new run number after the seat was reclaimed.
    void continue_with_incarnation(machine& node, const seat_key& next)
    {
        node.run = next.node_incarnation;
        node.controller->rejoin(next, this->local(node));
        node.claims->reset(next);
        this->schedule_periodic(node, 100ms, [this](machine& n) { this->run_control_step(n); });
        this->schedule_periodic(node, 500ms, [this](machine& n) { this->ping_peers(n); });
        this->schedule_periodic(node, 10ms, [this](machine& n) { this->exchange_loans(n); });
    }

    void request_consents(machine& node, const seat_actions& step)
    {
        const seat_key requester = node.controller->key();
        for (const auto& [to, message] : step.consents) {
            this->send(node, to, [this, requester, message = message](machine& witness) {
                const auto heard = witness.heard.find(message.holder);
                const time_point last = heard == witness.heard.end() ? time_point{} : heard->second;
                const consent_reply reply =
                    witness.controller->handle_consent_request(message, last, this->local(witness));
                const seat_key from = witness.controller->key();
                this->send(witness, requester, [this, from, reply](machine& n) {
                    n.controller->record_consent_reply(from, reply, this->local(n));
                });
            });
        }
    }

    void ping_peers(machine& node)
    {
        std::set<seat_key> targets;
        const seat* const own = node.controller->book().find(node.controller->key());
        if (own != nullptr) {
            targets.insert(own->witnesses.begin(), own->witnesses.end());
        }
        for (std::size_t count = 0; count < 6; ++count) {
            const auto& peer = this->machines[uniform_index(this->random, this->options.nodes)];
            if (peer->index != node.index && peer->run != 0) {
                targets.insert({peer->name, peer->run});
            }
        }
        for (const seat_key& target : targets) {
            this->ping(node, target);
        }
    }

    using heard_ages = std::vector<std::pair<seat_key, duration>>;

    heard_ages recent_ages(const machine& node) const
    {
        heard_ages result;
        for (const auto& [key, when] : node.heard) {
            if (this->local(node) - when < 5s) {
                result.emplace_back(key, this->local(node) - when);
            }
        }
        return result;
    }
    void record_heard(machine& node, const seat_key& from, const heard_ages& others)
    {
        const time_point now = this->local(node);
        node.heard[from] = now;
        for (const auto& [key, age] : others) {
            time_point& when = node.heard[key];
            when = std::max(when, now - age);
        }
    }

    void ping(machine& node, const seat_key& target)
    {
        const seat_key from = node.controller->key();
        const time_point sent = this->local(node);
        const auto heard = this->recent_ages(node);
        this->send(node, target, [this, from, sent, heard](machine& peer) {
            this->record_heard(peer, from, heard);
            const bool promise = peer.controller->promises(from, this->local(peer));
            ledger_proof proof = peer.controller->proof();
            const duration age = this->local(peer) - proof.as_of;
            const std::uint64_t version = peer.controller->book().version;
            const seat_key replier = peer.controller->key();
            const auto known = this->recent_ages(peer);
            this->send(peer, from, [=, this](machine& n) mutable {
                this->record_heard(n, replier, known);
                n.two_way[replier] = std::max(n.two_way[replier], sent);
                n.controller->record_promise(replier, promise, sent);
                proof.as_of = sent - age;
                if (proof.ledger_version == version) {
                    n.controller->record_proof(proof, this->local(n));
                }
                if (version > n.controller->book().version) {
                    this->fetch_ledger(n, replier);
                }
            });
        });
    }

    void fetch_ledger(machine& node, const seat_key& peer)
    {
        const seat_key from = node.controller->key();
        this->send(node, peer, [this, from](machine& n) {
            if (!n.controller->knows_ledger()) {
                return;
            }
            const ledger book = n.controller->book();
            const std::uint64_t version = n.controller->known_store_version();
            this->send(n, from, [this, book, version](machine& m) {
                m.controller->record_relayed_ledger(book, version, this->local(m));
            });
        });
    }

    void exchange_urgent_loans(machine& node)
    {
        this->deliver(node, node.run, 0ms, [this](machine& n) {
            if (n.quota->consume_urgent()) {
                this->exchange_loans(n);
            }
        });
    }

    void exchange_loans(machine& node)
    {
        const time_point now = this->local(node);
        const auto lenders = node.controller->lenders(this->peers(node));
        loan_plan plan = node.quota->plan_loan_messages(lenders, this->random, now);
        const seat_key from = node.controller->key();
        for (auto& [to, message] : plan.requests) {
            this->send(node, to, [this, from, message = message](machine& lender) {
                const organisation& limits = this->find_organisation(message.organisation);
                const borrow_reply reply = lender.quota->lend(message, limits, this->local(lender));
                this->send(lender, from, [this, reply](machine& n) {
                    n.quota->accept_loan(reply, this->local(n));
                    this->retry_waiting(n);
                });
            });
        }
        for (auto& [to, message] : plan.returns) {
            this->send(node, to, [this, message = message](machine& lender) {
                lender.quota->accept_loan_return(message, this->local(lender));
                this->retry_waiting(lender);
            });
        }
        this->retry_waiting(node);
    }

    void retry_waiting(machine& node)
    {
        std::deque<machine::waiting_request> again;
        std::swap(again, node.waiting);
        const time_point now = this->local(node);
        // A few tries per organisation and call suffice to find that no tokens have arrived.
        constexpr int max_tries = 8;
        std::map<const organisation*, int> tries;
        for (auto& request : again) {
            const bool is_expired = now >= request.deadline;
            if (!is_expired && tries[request.limits] >= max_tries) {
                node.waiting.push_back(std::move(request));
                continue;
            }
            const admission result = is_expired ? node.quota->last_try(*request.limits, now)
                                                : node.quota->retry(*request.limits, now);
            if (result == admission::wait) {
                ++tries[request.limits];
                node.waiting.push_back(std::move(request));
                continue;
            }
            request.done(result);
        }
    }

    const organisation& find_organisation(const organisation_id& name) const
    {
        return *std::find_if(this->organisations.begin(), this->organisations.end(),
                             [&](const organisation& entry) { return entry.id == name; });
    }

    void hand_over_claims(machine& node)
    {
        const time_point now = this->local(node);
        node.claims->set_seats(node.controller->book(), now);
        for (const auto& [to, message] : node.claims->due_hand_overs(now)) {
            const seat_key from = node.controller->key();
            this->send(node, to, [this, from, message = message](machine& next) {
                next.claims->set_seats(next.controller->book(), this->local(next));
                const auto ack = next.claims->accept_hand_over(message, this->local(next));
                const seat_key receiver = next.controller->key();
                this->send(next, from, [receiver, ack](machine& n) {
                    n.claims->record_hand_over_ack(receiver, ack);
                });
            });
        }
    }
};

} // namespace dragonflyroad::test
