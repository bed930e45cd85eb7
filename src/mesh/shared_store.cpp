#include "mesh/shared_store.hpp"

#include "adapters/log.hpp"

namespace dragonflyroad {

void shared_store::learn_era(store_era stated, const std::string& source)
{
    // A node that lags behind is no news, and counts as no outdated answer.
    if (stated > this->era()) {
        this->observe(stated, source);
    }
}

bool shared_store::accept_answer(store_era stated)
{
    return this->observe(stated, "store");
}

bool shared_store::observe(store_era stated, const std::string& source)
{
    const store_era before = this->era();
    const era_verdict verdict = this->tracker.observe(stated);
    if (verdict == era_verdict::outdated) {
        log_line{"store_answer_outdated"}.add("era", stated).add("newest", before);
    }
    else if (stated != before) {
        log_line{"store_era"}.add("old", before).add("new", stated).add("source", source);
    }
    return verdict != era_verdict::outdated;
}

} // namespace dragonflyroad
