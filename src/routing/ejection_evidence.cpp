#include "routing/ejection_evidence.hpp"

#include "routing/outlier_detector.hpp"

namespace dragonflyroad {

peer_evidence_counts count_peer_evidence(const std::map<node_id, ejection_evidence>& peers,
                                         time_point since, time_point now)
{
    peer_evidence_counts counts;
    for (const auto& [peer, evidence] : peers) {
        if (now - evidence.as_of > evidence_lifetime || evidence.as_of < since) {
            continue;
        }
        if (evidence.suspicion >= suspicion_to_reduce) {
            ++counts.bad;
        }
        else if (evidence.good >= 2 && evidence.suspicion < suspicion_to_gossip) {
            ++counts.good;
        }
    }
    return counts;
}

} // namespace dragonflyroad
