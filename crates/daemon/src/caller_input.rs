//! Tells whether a caller has sent more on its connection than the requests that have begun.
//!
//! While a request is in progress, hyper reads ahead what follows it and does not show it. The length of a
//! request is therefore calculated from its parsed head, as clients usually write it. Where a client writes
//! it in another way, more may seem to be there than is: the connection is then kept open for longer, which
//! does no harm.

use http::Request;
use http::header::CONTENT_LENGTH;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time within which a request that was read ahead begins once the one before it was answered, in
/// milliseconds.
const NEXT_REQUEST_MS: u64 = 100;

/// Bytes and requests of one caller connection.
#[derive(Debug, Default)]
pub struct CallerInput {
    received_bytes: Cell<u64>,
    /// Length of all requests that have begun, in bytes.
    begun_bytes: Cell<u64>,
    in_progress: Cell<u32>,
    changed: Notify,
}

impl CallerInput {
    /// Counts bytes that were received.
    pub fn on_received(&self, bytes: usize) {
        self.received_bytes.set(self.received_bytes.get() + bytes as u64);
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin<B>(self: &Rc<Self>, request: &Request<B>) -> RequestInProgress {
        self.begun_bytes.set(self.begun_bytes.get() + request_bytes(request));
        self.in_progress.set(self.in_progress.get() + 1);
        self.changed.notify_waiters();
        RequestInProgress { input: self.clone() }
    }

    /// Reports whether more was received than the requests that have begun, the last of which must have
    /// been read.
    pub fn has_more(&self) -> bool {
        // A client may use fewer bytes for a request than were calculated.
        self.begun_bytes.set(self.begun_bytes.get().min(self.received_bytes.get()));
        self.received_bytes.get() > self.begun_bytes.get()
    }

    /// Completes when no request is in progress and none that was read ahead is about to begin.
    pub async fn idle(&self) {
        loop {
            let changed = self.changed.notified();
            match (self.in_progress.get(), self.has_more()) {
                (0, false) => return,
                (0, true) => {
                    if timeout(Duration::from_millis(NEXT_REQUEST_MS), changed).await.is_err() {
                        return;
                    }
                }
                _ => changed.await,
            }
        }
    }
}

/// A request that counts as in progress until this is dropped.
#[derive(Debug)]
pub struct RequestInProgress {
    input: Rc<CallerInput>,
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.input.in_progress.set(self.input.in_progress.get() - 1);
        self.input.changed.notify_waiters();
    }
}

/// Returns the length of `request` on the connection, in bytes, if its body is not in chunks.
fn request_bytes<B>(request: &Request<B>) -> u64 {
    let request_line = request.method().as_str().len() + request.uri().to_string().len();
    let headers = request.headers().iter();
    let header_bytes =
        headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    let line_bytes = request_line + "  HTTP/1.1\r\n".len() + "\r\n".len();
    let body_bytes = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let body_bytes = body_bytes.and_then(|text| text.parse().ok()).unwrap_or(0u64);
    (line_bytes + header_bytes.sum::<usize>()) as u64 + body_bytes
}
