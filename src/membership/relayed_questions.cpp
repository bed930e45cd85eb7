#include "membership/relayed_questions.hpp"

#include <cstddef>
#include <utility>

namespace dragonflyroad {
namespace {

constexpr std::size_t max_waiting = 32;

} // namespace

void relayed_questions::add(relayed_question question)
{
    if (this->waiting.size() >= max_waiting) {
        this->waiting.pop_front();
    }
    this->waiting.push_back(std::move(question));
}

std::vector<relayed_question> relayed_questions::take(incarnation about, time_point now)
{
    std::vector<relayed_question> taken;
    std::deque<relayed_question> kept;
    for (relayed_question& question : this->waiting) {
        if (question.expires <= now) {
            continue;
        }
        if (question.about == about) {
            taken.push_back(std::move(question));
        }
        else {
            kept.push_back(std::move(question));
        }
    }
    this->waiting = std::move(kept);
    return taken;
}

} // namespace dragonflyroad
