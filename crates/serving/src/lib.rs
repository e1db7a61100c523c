//! Servers on blocking sockets whose resources are bounded, for clients that nobody controls.
//!
//! [`http`] is an HTTP/1.1 server, [`operators`] serves status pages with it,
//! [`connections`] limits the number of open connections,
//! [`byte_budget`] limits the memory of messages being read or written, and [`deadline`] limits the
//! time of an exchange.

pub mod byte_budget;
pub mod connections;
pub mod deadline;
pub mod http;
pub mod operators;
