//! The entry process accepts requests of callers, asks the control process of its VM to admit each
//! request, sends the request to the granted endpoint, and relays the response.
//!
//! The control process grants a request an endpoint together with a permit, which states until when
//! the request may be sent to this endpoint. The entry process makes no decisions and holds no
//! configuration. One thread serves one request
//! ([`server`]). The control process sends its decisions over [`link`]. [`gypsumchute_serving::http`]
//! is the HTTP server for callers and operators. [`backend`] is the HTTP client for endpoints, and shows for each
//! failure whether a byte of the request may have been sent. [`generation`], [`resume`] and
//! [`application`] serve the three kinds of requests, and [`engine`] reads generations from model
//! engines. [`responses`] writes the responses to callers, and [`request_history`] records the
//! steps of requests for `explain`. [`ops`] serves operators, and [`process`] starts and stops the
//! process.

pub mod application;
pub mod backend;
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
