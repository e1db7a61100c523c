//! Integration tests of the fleet crate.

mod members;
mod store_copy;
