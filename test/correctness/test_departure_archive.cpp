#include "dispatch/departure_archive.hpp"

#include <string>

#include <doctest/doctest.h>

using namespace dragonflyroad;

namespace {

const node_id vm{"vm-1"};

departed_lifetimes left(const std::string& id, std::int64_t started_at)
{
    departed_lifetimes result;
    result.add(id, started_at);
    return result;
}

} // namespace

// Guards against a departure that counts as recorded although the store holds none, an earlier one
// of the same upstream, or lost it with an era.
TEST_CASE("a departure is recorded once the store holds it in its present era")
{
    departure_archive archive;
    archive.learn(vm, left("first", 1000));
    CHECK(archive.lacks(vm));
    CHECK_FALSE(archive.is_stored(vm, "first", 1000));
    CHECK(archive.revision(vm) == store_revision{0});
    archive.record_stored(vm, left("first", 500), 7);
    CHECK(archive.lacks(vm));
    CHECK_FALSE(archive.is_stored(vm, "first", 1000));
    CHECK(archive.revision(vm) == store_revision{7});
    archive.record_stored(vm, archive.known(vm));
    CHECK_FALSE(archive.lacks(vm));
    CHECK(archive.is_stored(vm, "first", 1000));
    CHECK_FALSE(archive.revision(vm).has_value());
    archive.begin_era();
    CHECK(archive.lacks(vm));
    CHECK_FALSE(archive.is_stored(vm, "first", 1000));
    CHECK(archive.known(vm).contains("first", 1000));
    CHECK(archive.lacking().size() == 1);
}

// Guards against records that nodes replace by each other's: each holds what the other has not
// seen.
TEST_CASE("records of two nodes are merged into one that neither finds lacking")
{
    departure_archive first;
    departure_archive second;
    for (int lifetime = 0; lifetime < 20; ++lifetime) {
        auto& seen_by = lifetime % 2 == 0 ? first : second;
        seen_by.learn(vm, left("i-" + std::to_string(lifetime), 1000 + lifetime));
    }
    first.learn(vm, second.known(vm));
    second.learn(vm, first.known(vm));
    CHECK(first.known(vm).to_text() == second.known(vm).to_text());
    CHECK(first.known(vm).contains("i-19", 1019));
    second.record_stored(vm, first.known(vm), 3);
    CHECK_FALSE(second.lacks(vm));
}
