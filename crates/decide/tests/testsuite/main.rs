//! Tests of the decision logic in a simulated fleet with virtual time.

mod naive;
mod ownership;
mod rate;
mod world;
