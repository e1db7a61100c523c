//! HTTP client for the operations ports of gypsumchute processes.

use crate::core::{OpError, OpResult};
use attohttpc::{Method, ProxySettings, RequestBuilder};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout for connecting and for each read.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Sends a request without a body, and returns the status code and the body of the response.
///
/// # Errors
///
/// Returns an error if no HTTP response arrives.
pub fn call(method: Method, address: SocketAddr, path: &str) -> OpResult<(u16, String)> {
    let sent = RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(CALL_TIMEOUT)
        .read_timeout(CALL_TIMEOUT)
        .send();
    let result = sent.and_then(|response| {
        let status = response.status().as_u16();
        Ok((status, response.text()?))
    });
    result.map_err(|err| {
        OpError::failed(format!("http://{address}{path}"), err, "check the address and the process")
    })
}

/// Returns the response body of a GET request.
///
/// # Errors
///
/// Returns an error if no response arrives or the status code is not 200.
pub fn get(address: SocketAddr, path: &str) -> OpResult<String> {
    match call(Method::GET, address, path)? {
        (200, body) => Ok(body),
        (status, body) => {
            let what = format!("http://{address}{path}");
            Err(OpError::failed(what, format!("status {status}: {body}"), "check the address"))
        }
    }
}
