//! Short HTTP calls with timeouts, a new connection each, so that no connection can go stale.

use attohttpc::{Method, ProxySettings, RequestBuilder};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// Why a call gave no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The call failed on the way.
        Http(err: attohttpc::Error) {
            from()
            display("the call failed: {}", err)
        }
        /// The other side refused it.
        Status(code: u16) {
            display("the answer has status {}", code)
        }
    }
}

/// A call of `path` at `address` that may take `timeout_ms`.
pub fn request(method: Method, address: SocketAddr, path: &str, timeout_ms: u64) -> RequestBuilder {
    let timeout = Duration::from_millis(timeout_ms);
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
}

/// Reads JSON from `path` at `address`.
///
/// # Errors
///
/// The call failed, was refused, or its answer is not the JSON expected.
pub fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    timeout_ms: u64,
) -> Result<T, CallError> {
    let response = request(Method::GET, address, path, timeout_ms).send()?;
    match response.status().as_u16() {
        200 => Ok(response.json()?),
        code => Err(CallError::Status(code)),
    }
}
