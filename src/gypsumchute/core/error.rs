//! Errors of operations: what failed, with what input, and what to do next.

use gypsumchute_config::ConfigErrors;
use quick_error::quick_error;
use std::io;

quick_error! {
    /// Why an operation failed.
    #[derive(Debug)]
    pub enum OpError {
        /// The configuration or a settings file is wrong.
        Config(err: ConfigErrors) {
            from()
            display("{}", err)
        }
        /// Something could not be started, reached or read.
        Failed(what: String, reason: String, next: String) {
            display("{}: {}; {}", what, reason, next)
        }
        /// Reading or writing failed.
        Io(err: io::Error) {
            from()
            display("input or output failed: {}; check the paths and addresses named", err)
        }
    }
}

impl OpError {
    /// `what` failed because of `reason`; do `next`.
    pub fn failed(what: impl Into<String>, reason: impl ToString, next: impl Into<String>) -> Self {
        OpError::Failed(what.into(), reason.to_string(), next.into())
    }
}

/// The outcome of an operation.
pub type OpResult<T> = Result<T, OpError>;
