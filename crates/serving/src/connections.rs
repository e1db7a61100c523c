//! Limits the number of open connections of a server.
//!
//! A connection beyond the limit takes the place of the one that has been without a complete request
//! for the longest. If there is none, the new connection is closed.

use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time in which the thread of a closed connection ends, in milliseconds. If it takes
/// longer, the new connection is closed.
const CLOSE_WAIT_MS: u64 = 500;
/// Interval between two checks whether the thread of a closed connection has ended, in milliseconds.
const CLOSE_POLL_MS: u64 = 1;

/// Open connections of a server. Clones share the same connections.
#[derive(Debug, Clone)]
pub struct Connections {
    open: Arc<Mutex<Open>>,
    max_connections: usize,
    closes_busy: bool,
}

#[derive(Debug, Default)]
struct Open {
    next_id: u64,
    by_id: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    stream: Arc<TcpStream>,
    since: Instant,
    busy: bool,
    closed: bool,
}

impl Connections {
    /// Creates a limit of `max_connections` connections. With `closes_busy`, a new connection may
    /// also take the place of one whose request is being served, if all are; this suits servers
    /// whose requests are short and may be repeated.
    pub fn new(max_connections: usize, closes_busy: bool) -> Self {
        Connections { open: Arc::default(), max_connections, closes_busy }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.lock().by_id.len()
    }

    /// Admits a new connection, or returns `None` if there is no place for it.
    pub fn admit(&self, stream: TcpStream) -> Option<ConnectionSlot> {
        let deadline = Instant::now() + Duration::from_millis(CLOSE_WAIT_MS);
        if self.lock().by_id.len() >= self.max_connections && !self.close_one() {
            return None;
        }
        loop {
            let mut open = self.lock();
            if open.by_id.len() < self.max_connections {
                let stream = Arc::new(stream);
                let id = open.next_id;
                open.next_id += 1;
                let (since, stream_of_entry) = (Instant::now(), stream.clone());
                let entry = Entry { stream: stream_of_entry, since, busy: false, closed: false };
                open.by_id.insert(id, entry);
                return Some(ConnectionSlot { stream, id, connections: self.clone() });
            }
            drop(open);
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(CLOSE_POLL_MS));
        }
    }

    /// Closes the connection that has been without a request for the longest, and reports whether
    /// there is one.
    fn close_one(&self) -> bool {
        let mut open = self.lock();
        let candidates = open.by_id.values_mut().filter(|entry| !entry.closed);
        let candidates = candidates.filter(|entry| !entry.busy || self.closes_busy);
        let Some(entry) = candidates.min_by_key(|entry| (entry.busy, entry.since)) else {
            return false;
        };
        entry.closed = true;
        let _ = entry.stream.shutdown(Shutdown::Both);
        true
    }
}

/// Place of one open connection. The place becomes free on drop.
#[derive(Debug)]
pub struct ConnectionSlot {
    stream: Arc<TcpStream>,
    id: u64,
    connections: Connections,
}

impl ConnectionSlot {
    /// Returns the stream of the connection.
    pub fn stream(&self) -> Arc<TcpStream> {
        self.stream.clone()
    }

    /// States that a request is being served (`true`), or that the connection waits for one.
    pub fn set_busy(&self, busy: bool) {
        if let Some(entry) = self.connections.lock().by_id.get_mut(&self.id) {
            entry.busy = busy;
            entry.since = Instant::now();
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.connections.lock().by_id.remove(&self.id);
    }
}
