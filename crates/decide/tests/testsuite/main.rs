//! Tests of the decision logic in a simulated fleet with virtual time.

mod ownership;
mod rate;
mod reference_bucket;
mod world;
