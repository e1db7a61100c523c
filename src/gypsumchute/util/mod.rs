//! General-purpose helpers, independent of the serving system.

pub mod http;
pub mod ports;
pub mod signals;
pub mod table;
