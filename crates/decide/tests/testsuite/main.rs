//! Tests of the decisions, driven by events in virtual time.

mod ownership;
mod rate;
mod world;
