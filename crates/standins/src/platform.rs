//! Stand-in for the platform: configuration values with versions, a list of VMs that lags, and a
//! count of calls. Readers use `GET /v1/config` and `GET /v1/vms`; publishing and faults are for
//! the test that drives it.

use crate::server::{Running, answer, body_text, path_and_query, query_number, query_text, serve};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};

/// Largest answer, in bytes of text; what exceeds it comes on the next page.
const PAGE_BYTES: usize = 1 << 20;
const POLL_MS: u64 = 20;

/// One VM of the list.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ListedVm {
    /// Its id.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its control process listens for other VMs.
    pub address: SocketAddr,
    /// Whether it is about to be taken away.
    #[serde(default)]
    pub leaving: bool,
}

/// How the platform misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call fails.
    pub down: bool,
    /// Answers are those of this version, as from a reader that is behind.
    pub stuck_at_version: Option<u64>,
    /// The VM list shows a change only after this time.
    pub list_lag_ms: u64,
}

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    text: Option<String>,
}

#[derive(Default)]
struct State {
    version: u64,
    history: BTreeMap<String, Vec<Change>>,
    list_version: u64,
    lists: Vec<(Instant, u64, Vec<ListedVm>)>,
    faults: PlatformFaults,
}

/// A running platform.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<Running>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    calls: AtomicU64,
}

#[derive(Debug, Deserialize)]
struct Publish {
    #[serde(default)]
    values: BTreeMap<String, String>,
    #[serde(default)]
    delete: Vec<String>,
}

impl Platform {
    /// Starts at `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = Arc::new(serve(address, move |request| handler.handle(request))?);
        Ok(Platform { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Publishes values and deletes others, as one version; returns its number.
    pub fn publish(&self, values: BTreeMap<String, String>, delete: Vec<String>) -> u64 {
        self.shared.publish(Publish { values, delete })
    }

    /// Publishes a list of VMs.
    pub fn list(&self, vms: Vec<ListedVm>) {
        self.shared.list(vms);
    }

    /// Misbehaves from now on.
    pub fn fault(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// Calls so far, a watch that waits as one.
    pub fn calls(&self) -> u64 {
        self.shared.calls.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, publish: Publish) -> u64 {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let deleted = publish.delete.into_iter().map(|name| (name, None));
        let values = publish.values.into_iter().map(|(name, text)| (name, Some(text)));
        for (name, text) in values.chain(deleted) {
            state.history.entry(name).or_default().push(Change { version, text });
        }
        self.changed.notify_all();
        version
    }

    fn list(&self, vms: Vec<ListedVm>) {
        let mut state = self.lock();
        state.list_version += 1;
        let version = state.list_version;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        state.lists.push((Instant::now() + lag, version, vms));
        self.changed.notify_all();
    }

    fn handle(&self, mut request: Request) {
        let (path, query) = path_and_query(&request);
        let body = match request.method() {
            Method::Post => body_text(&mut request),
            _ => String::new(),
        };
        match (request.method(), path.as_str()) {
            (Method::Get, "/v1/config") => {
                self.read(request, &query, |state, query| state.page(query))
            }
            (Method::Get, "/v1/vms") => self.read(request, &query, |state, _| state.shown_list()),
            (Method::Post, "/publish") => match serde_json::from_str(&body) {
                Ok(publish) => answer(request, 200, self.publish(publish).to_string()),
                Err(err) => answer(request, 400, err.to_string()),
            },
            (Method::Post, "/list") => match serde_json::from_str(&body) {
                Ok(vms) => {
                    self.list(vms);
                    answer(request, 200, "{}".to_owned());
                }
                Err(err) => answer(request, 400, err.to_string()),
            },
            (Method::Post, "/fault") => match serde_json::from_str(&body) {
                Ok(faults) => {
                    self.lock().faults = faults;
                    self.changed.notify_all();
                    answer(request, 200, "{}".to_owned());
                }
                Err(err) => answer(request, 400, err.to_string()),
            },
            (Method::Get, "/calls") => {
                answer(request, 200, self.calls.load(Ordering::Relaxed).to_string());
            }
            _ => answer(request, 404, "{}".to_owned()),
        }
    }

    /// Answers once something newer than `after` is there, or after a while all the same.
    fn read(
        &self,
        request: Request,
        query: &str,
        page: impl Fn(&State, &str) -> (u64, serde_json::Value),
    ) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let after = query_number(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_number(query, "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.faults.down {
                drop(state);
                return answer(request, 503, "{}".to_owned());
            }
            let (version, json) = page(&state, query);
            if version > after || Instant::now() >= until {
                drop(state);
                return answer(request, 200, json.to_string());
            }
            let poll = Duration::from_millis(POLL_MS);
            let waited = self.changed.wait_timeout(state, poll);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn shown_version(&self) -> u64 {
        self.faults.stuck_at_version.unwrap_or(self.version).min(self.version)
    }

    fn page(&self, query: &str) -> (u64, serde_json::Value) {
        let version = self.shown_version();
        let after = query_number(query, "after").unwrap_or(0);
        let from = query_text(query, "from").unwrap_or("");
        let mut values = Vec::new();
        let mut bytes = 0;
        let mut next = None;
        for (name, changes) in self.history.range(from.to_owned()..) {
            let shown = changes.iter().rev().find(|change| change.version <= version);
            let Some(change) = shown.filter(|change| change.version > after) else { continue };
            bytes += change.text.as_ref().map_or(0, String::len);
            if bytes > PAGE_BYTES && !values.is_empty() {
                next = Some(name.clone());
                break;
            }
            values.push(serde_json::json!({
                "name": name, "version": change.version, "text": change.text,
            }));
        }
        (version, serde_json::json!({ "version": version, "values": values, "next": next }))
    }

    fn shown_list(&self) -> (u64, serde_json::Value) {
        let now = Instant::now();
        let shown = self.lists.iter().rev().find(|(from, _, _)| *from <= now);
        let (version, vms) = shown.map_or((0, Vec::new()), |(_, v, vms)| (*v, vms.clone()));
        (version, serde_json::json!({ "version": version, "vms": vms }))
    }
}
