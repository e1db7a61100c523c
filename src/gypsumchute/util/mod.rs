//! Helpers without knowledge of the system.

pub mod http;
pub mod ports;
pub mod signals;
pub mod table;
