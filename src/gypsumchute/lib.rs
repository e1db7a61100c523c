//! Operations behind the `gypsumchute` command and the small binaries.
//!
//! `core` holds the types that operations share, `ops` one module an operation, `util` helpers
//! without knowledge of the system. The binaries under `src/bin` only parse arguments.

pub mod core;
pub mod ops;
pub mod util;
