//! Responses of endpoints in chunks whose framing is damaged.

use gypsumchute_entry::backend::{RequestHead, connect};
use gypsumchute_standins::damaged_chunks::{damaged_bodies, serve, whole_body};
use std::net::SocketAddr;

/// Timeout for connecting to the endpoint and for each read, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

/// Returns the body, or `None` if it is not complete.
fn read_body(address: SocketAddr) -> Option<Vec<u8>> {
    let connection = connect(address, TIMEOUT_MS, TIMEOUT_MS).expect("endpoint listens");
    let head = RequestHead::new("GET", "/".to_owned());
    let mut pending = connection.send(&head, b"").expect("request is sent");
    let mut response = loop {
        if let Some(response) = pending.read_head().expect("valid head") {
            break response;
        }
    };
    let mut body = Vec::new();
    loop {
        match response.next_data() {
            Ok(Some(data)) => body.extend(data),
            Ok(None) => return Some(body),
            Err(_) => return None,
        }
    }
}

/// Guards against a body that counts as complete although one wrong byte in the framing has hidden its
/// rest.
#[test]
fn a_body_with_a_wrong_byte_in_its_framing_is_not_complete_without_its_rest() {
    let damaged = damaged_bodies();
    let address = serve(damaged.clone()).expect("free port");
    for damaged in damaged {
        let body = read_body(address);
        let is_whole = body.as_ref().is_none_or(|body| *body == whole_body());
        let text = body.map(|body| String::from_utf8_lossy(&body).into_owned());
        assert!(is_whole, "{}: {text:?}", damaged.damage);
    }
}
