//! Integration tests of the fleet crate.

mod members;
mod restored_store;
mod store_copy;
