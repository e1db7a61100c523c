//! Implementation of the `gypsumchute` command and of the process binaries.
//!
//! `ops` contains one module per operation, `core` the types that operations share, and `util`
//! general-purpose helpers. The binaries under `src/bin` only parse arguments and print results.

pub mod core;
pub mod ops;
pub mod util;
