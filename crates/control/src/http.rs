//! Sends short HTTP requests with timeouts. Each request uses a new connection, because a
//! connection kept from an earlier request may have become stale.

use attohttpc::{Method, ProxySettings, RequestBuilder};
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// The reason why an HTTP call returned no usable response.
    #[derive(Debug)]
    pub enum CallError {
        /// The request could not be sent, or the response could not be read or decoded.
        Http(err: attohttpc::Error) {
            from()
            display("HTTP call failed: {}", err)
        }
        /// The body could not be read.
        Read(err: io::Error) {
            from()
            display("failed to read the response: {}", err)
        }
        /// The body is not the expected JSON.
        Decode(err: serde_json::Error) {
            from()
            display("failed to decode the response: {}", err)
        }
        /// The body is larger than the allowed maximum.
        TooLarge(max_bytes: u64) {
            display("response exceeds the maximum of {} bytes", max_bytes)
        }
        /// The response has a status other than 200.
        Status(code: u16) {
            display("unexpected HTTP status {}", code)
        }
    }
}

/// Prepares a request for `path` at `address` with a timeout in milliseconds. The request ignores
/// proxy settings of the environment and follows no redirects.
pub fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    timeout_ms: u64,
) -> RequestBuilder {
    let timeout = Duration::from_millis(timeout_ms);
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
}

/// Sends a GET request for `path` at `address` and decodes the JSON response.
///
/// # Errors
///
/// Returns an error if the request fails, if the status is not 200, if the response is larger than
/// `max_bytes` or if it does not decode to `T`.
pub fn get_json<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    timeout_ms: u64,
    max_bytes: u64,
) -> Result<T, CallError> {
    let response = build_request(Method::GET, address, path, timeout_ms).send()?;
    let (status, _, body) = response.split();
    if status.as_u16() != 200 {
        return Err(CallError::Status(status.as_u16()));
    }
    let mut bytes = Vec::new();
    body.take(max_bytes + 1).read_to_end(&mut bytes)?;
    match bytes.len() as u64 > max_bytes {
        true => Err(CallError::TooLarge(max_bytes)),
        false => Ok(serde_json::from_slice(&bytes)?),
    }
}
