//! Tests of the whole system: real processes, small stand-ins, injected faults.

mod path;
mod support;
