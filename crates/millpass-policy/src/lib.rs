//! Policies in Common Expression Language: compile, check cost, evaluate.
