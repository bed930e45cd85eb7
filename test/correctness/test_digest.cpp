#include "core/digest.hpp"

#include <doctest/doctest.h>

using namespace dragonflyroad;

// Guards against a digest that differs from the one that operators compute with other tools.
TEST_CASE("sha256 of a key matches the published test vector")
{
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a key whose owner by rendezvous hashing changes because two program versions hash
// differently.
TEST_CASE("stable_hash depends on text and seed")
{
    CHECK(stable_hash("a") == stable_hash("a"));
    CHECK(stable_hash("a") != stable_hash("b"));
    CHECK(stable_hash("a", 1) != stable_hash("a", 2));
}
