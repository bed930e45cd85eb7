#pragma once

/// The first of 190 ports for this process, outside the ephemeral range. Tests of several work
/// trees run side by side on one machine, so fixed ports collide.
int first_test_port();
