//! `drain`: starts the graceful shutdown of processes.

use crate::core::{OpError, OpResult};
use crate::util::http;
use attohttpc::Method;
use std::net::SocketAddr;

/// Requests a graceful shutdown of the processes at these operations ports, in the given order.
/// Requests in flight are completed.
///
/// # Errors
///
/// Returns an error for the first process that does not accept the request; later addresses are
/// not contacted.
pub fn drain(addresses: &[SocketAddr]) -> OpResult<()> {
    for address in addresses {
        match http::call(Method::POST, *address, "/drain")? {
            (200, _) => {}
            (status, body) => {
                let what = format!("drain of {address}");
                let reason = format!("status {status}: {body}");
                return Err(OpError::failed(
                    what,
                    reason,
                    "check that the address is the operations port of a process",
                ));
            }
        }
    }
    Ok(())
}
