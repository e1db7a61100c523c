//! Integration tests of the exchange crate.

mod body_buffer;
mod chunked_bodies;
