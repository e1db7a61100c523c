//! Tests by feature.

mod members;
mod store_copy;
