//! The entry process: takes callers, asks the control process of its VM about each request, sends
//! it to the endpoint that was granted, and carries the answer back.
//!
//! It holds no decisions and no configuration. One thread serves one request ([`server`]); what a
//! request may do comes over [`link`]; [`callers_http`] speaks to callers and [`backend`] speaks to endpoints in a way that always knows
//! whether a byte has left. [`generation`], [`resume`] and [`application`] are the three kinds of
//! request, [`caller`] writes their answers, [`ledger`] remembers them for `explain`.

pub mod application;
pub mod backend;
pub mod callers_http;
pub mod engine;
pub mod generation;
pub mod link;
pub mod ops;
pub mod process;
pub mod request_history;
pub mod responses;
pub mod resume;
pub mod server;

pub use process::{EntryHandle, start};
