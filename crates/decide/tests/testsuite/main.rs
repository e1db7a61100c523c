//! Tests of the decisions, driven by events in virtual time.

mod naive;
mod ownership;
mod rate;
mod world;
