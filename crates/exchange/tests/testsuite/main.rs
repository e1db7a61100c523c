//! Integration tests. The crate has none yet.
