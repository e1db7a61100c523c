//! Tests of the decisions, driven by events in virtual time.

mod rate;
mod world;
