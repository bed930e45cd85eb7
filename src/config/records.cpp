#include "config/records.hpp"

namespace dragonflyroad {

bool profile::is_repeatable(const std::string& method) const
{
    if (this->unsafe_methods.contains(method)) {
        return false;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
           this->repeatable_methods.contains(method);
}

} // namespace dragonflyroad
