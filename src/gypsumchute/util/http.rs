//! Short HTTP calls of operators' ports.

use crate::core::{OpError, OpResult};
use attohttpc::{Method, ProxySettings, RequestBuilder};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(3);

/// Status and body of a call.
///
/// # Errors
///
/// Nobody answers at `address`.
pub fn call(method: Method, address: SocketAddr, path: &str) -> OpResult<(u16, String)> {
    let asked = RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(TIMEOUT)
        .read_timeout(TIMEOUT)
        .send();
    let answer = asked.and_then(|response| {
        let status = response.status().as_u16();
        Ok((status, response.text()?))
    });
    answer.map_err(|err| {
        OpError::failed(format!("http://{address}{path}"), err, "check the address and the process")
    })
}

/// The body of a page.
///
/// # Errors
///
/// Nobody answers, or the page is refused.
pub fn get(address: SocketAddr, path: &str) -> OpResult<String> {
    match call(Method::GET, address, path)? {
        (200, body) => Ok(body),
        (status, body) => {
            let what = format!("http://{address}{path}");
            Err(OpError::failed(what, format!("status {status}: {body}"), "check the address"))
        }
    }
}
