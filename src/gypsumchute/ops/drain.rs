//! `drain`: begins a graceful shutdown of processes.

use crate::core::{OpError, OpResult};
use crate::util::http;
use attohttpc::Method;
use std::net::SocketAddr;

/// Tells the processes behind these operators' ports to shut down; nothing under way is cut.
///
/// # Errors
///
/// The first one that does not take the order.
pub fn drain(addresses: &[SocketAddr]) -> OpResult<()> {
    for address in addresses {
        match http::call(Method::POST, *address, "/drain")? {
            (200, _) => {}
            (status, body) => {
                let what = format!("drain of {address}");
                let reason = format!("status {status}: {body}");
                return Err(OpError::failed(what, reason, "check the address"));
            }
        }
    }
    Ok(())
}
