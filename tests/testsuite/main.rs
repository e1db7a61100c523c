//! Tests of the whole system: real processes, small stand-ins, injected faults.

mod cli;
mod cold;
mod configuration;
mod keys;
mod limits;
mod once;
mod orders;
mod path;
mod poison;
mod shutdown;
mod soak;
mod streams;
mod support;
