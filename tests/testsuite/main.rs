//! Tests of the whole system: real processes, small stand-ins, injected faults.

mod cold;
mod configuration;
mod keys;
mod once;
mod path;
mod poison;
mod shutdown;
mod streams;
mod support;
