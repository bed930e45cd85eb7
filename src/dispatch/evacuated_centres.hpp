#pragma once

#include "core/ids.hpp"

#include <set>
#include <string>

namespace dragonflyroad {

/// The data centres whose upstreams get no work because an operator empties them. Not synchronised.
class evacuated_centres {
public:
    /// False when this changes nothing.
    bool add(const data_centre& centre) { return this->centres.insert(centre).second; }
    bool remove(const data_centre& centre) { return this->centres.erase(centre) > 0; }

    bool contains(const data_centre& centre) const { return this->centres.contains(centre); }
    const std::set<data_centre>& all() const { return this->centres; }

private:
    std::set<data_centre> centres;
};

} // namespace dragonflyroad
