//! Stand-in for the platform that publishes the configuration and the list of VMs. Control
//! processes read them with `GET /v1/config` and `GET /v1/vms`, both long polls. Tests publish
//! values, inject faults and count the reads.

use crate::server::{
    ServerHandle, path_and_query, query_param, query_param_u64, read_body, respond_json, serve,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};

/// Maximum size of the values on one page of a configuration response, in bytes. A single larger
/// value still gets a page of its own; the remaining values follow on further pages.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Interval at which a waiting read checks for new data, in milliseconds. Polling is needed because
/// a delayed VM list becomes visible without a notification.
const RECHECK_INTERVAL_MS: u64 = 20;

/// One VM in the list of VMs.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct ListedVm {
    /// VM id.
    pub id: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address that the control process of the VM listens on for other VMs.
    pub address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// Faults that the platform simulates.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every read fails with status 503.
    pub down: bool,
    /// Version at which configuration responses are stuck, like those of a stale read replica.
    pub stuck_at_version: Option<u64>,
    /// Delay until a published VM list becomes visible, in milliseconds.
    pub list_lag_ms: u64,
}

/// One version of a configuration value.
#[derive(Debug, Clone)]
struct ValueChange {
    version: u64,
    /// The value, or `None` if this version deleted it.
    text: Option<String>,
}

#[derive(Default)]
struct PlatformState {
    /// Newest configuration version.
    config_version: u64,
    /// All versions of each configuration value, oldest first.
    value_history: BTreeMap<String, Vec<ValueChange>>,
    vm_list_version: u64,
    /// Published VM lists with the time from which each is visible and its version, oldest first.
    vm_lists: Vec<(Instant, u64, Vec<ListedVm>)>,
    faults: PlatformFaults,
}

/// Running platform. The server stops when the last clone is dropped.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Arc<ServerHandle>,
}

/// State shared by the HTTP handlers and the test.
#[derive(Default)]
struct Shared {
    state: Mutex<PlatformState>,
    /// Notified when the state changes.
    changed: Condvar,
    /// Number of reads received.
    read_count: AtomicU64,
}

/// Body of `POST /publish`.
#[derive(Debug, Deserialize)]
struct PublishRequest {
    /// Values to create or change, by name.
    #[serde(default)]
    values: BTreeMap<String, String>,
    /// Names of values to delete.
    #[serde(default)]
    delete: Vec<String>,
}

impl Platform {
    /// Starts a platform that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = Arc::new(serve(address, move |request| handler.handle_request(request))?);
        Ok(Platform { shared, server })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Changes some values and deletes others in one configuration version. Returns that version.
    pub fn publish(&self, values: BTreeMap<String, String>, delete: Vec<String>) -> u64 {
        self.shared.publish(PublishRequest { values, delete })
    }

    /// Publishes a list of VMs, which becomes visible after [`PlatformFaults::list_lag_ms`].
    pub fn publish_vm_list(&self, vms: Vec<ListedVm>) {
        self.shared.publish_vm_list(vms);
    }

    /// Sets the faults to simulate from now on, in place of the earlier ones.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// Returns the number of reads so far. A long poll counts as one read.
    pub fn read_count(&self) -> u64 {
        self.shared.read_count.load(Ordering::Relaxed)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changes and deletions as one new configuration version, and returns that version.
    fn publish(&self, publish: PublishRequest) -> u64 {
        let mut state = self.lock();
        state.config_version += 1;
        let version = state.config_version;
        let deleted = publish.delete.into_iter().map(|name| (name, None));
        let values = publish.values.into_iter().map(|(name, text)| (name, Some(text)));
        for (name, text) in values.chain(deleted) {
            state.value_history.entry(name).or_default().push(ValueChange { version, text });
        }
        self.changed.notify_all();
        version
    }

    /// Publishes a list of VMs that becomes visible after the configured lag.
    fn publish_vm_list(&self, vms: Vec<ListedVm>) {
        let mut state = self.lock();
        state.vm_list_version += 1;
        let version = state.vm_list_version;
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        state.vm_lists.push((Instant::now() + lag, version, vms));
        self.changed.notify_all();
    }

    fn handle_request(&self, mut request: Request) {
        let (path, query) = path_and_query(&request);
        let body = match request.method() {
            Method::Post => read_body(&mut request),
            _ => String::new(),
        };
        match (request.method(), path.as_str()) {
            (Method::Get, "/v1/config") => {
                self.long_poll(request, &query, |state, query| state.config_page(query))
            }
            (Method::Get, "/v1/vms") => self.long_poll(request, &query, |state, _| state.vm_list()),
            (Method::Post, "/publish") => match serde_json::from_str(&body) {
                Ok(publish) => respond_json(request, 200, self.publish(publish).to_string()),
                Err(err) => respond_json(request, 400, err.to_string()),
            },
            (Method::Post, "/list") => match serde_json::from_str(&body) {
                Ok(vms) => {
                    self.publish_vm_list(vms);
                    respond_json(request, 200, "{}".to_owned());
                }
                Err(err) => respond_json(request, 400, err.to_string()),
            },
            (Method::Post, "/fault") => match serde_json::from_str(&body) {
                Ok(faults) => {
                    self.lock().faults = faults;
                    self.changed.notify_all();
                    respond_json(request, 200, "{}".to_owned());
                }
                Err(err) => respond_json(request, 400, err.to_string()),
            },
            (Method::Get, "/calls") => {
                respond_json(request, 200, self.read_count.load(Ordering::Relaxed).to_string());
            }
            _ => respond_json(request, 404, "{}".to_owned()),
        }
    }

    /// Answers a read as soon as a version newer than the `after` parameter is visible, or when the
    /// `wait_ms` parameter has elapsed. `read_page` returns the visible version and the response.
    fn long_poll(
        &self,
        request: Request,
        query: &str,
        read_page: impl Fn(&PlatformState, &str) -> (u64, serde_json::Value),
    ) {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        let after = query_param_u64(query, "after").unwrap_or(0);
        let wait = Duration::from_millis(query_param_u64(query, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.faults.down {
                drop(state);
                return respond_json(request, 503, "{}".to_owned());
            }
            let (version, json) = read_page(&state, query);
            if version > after || Instant::now() >= deadline {
                drop(state);
                return respond_json(request, 200, json.to_string());
            }
            let poll = Duration::from_millis(RECHECK_INTERVAL_MS);
            let waited = self.changed.wait_timeout(state, poll);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl PlatformState {
    /// Returns the configuration version that reads see.
    fn visible_version(&self) -> u64 {
        self.faults.stuck_at_version.unwrap_or(self.config_version).min(self.config_version)
    }

    /// Returns the visible version and one page of the values that changed after the version in the
    /// `after` parameter, in name order from the name in the `from` parameter on. `next` in the
    /// page is the name that the next page begins with.
    fn config_page(&self, query: &str) -> (u64, serde_json::Value) {
        let version = self.visible_version();
        let after = query_param_u64(query, "after").unwrap_or(0);
        let from = query_param(query, "from").unwrap_or("");
        let mut values = Vec::new();
        let mut bytes = 0;
        let mut next = None;
        for (name, changes) in self.value_history.range(from.to_owned()..) {
            let visible = changes.iter().rev().find(|change| change.version <= version);
            let Some(change) = visible.filter(|change| change.version > after) else { continue };
            bytes += change.text.as_ref().map_or(0, String::len);
            if bytes > MAX_PAGE_BYTES && !values.is_empty() {
                next = Some(name.clone());
                break;
            }
            values.push(serde_json::json!({
                "name": name, "version": change.version, "text": change.text,
            }));
        }
        (version, serde_json::json!({ "version": version, "values": values, "next": next }))
    }

    /// Returns the visible list of VMs and its version.
    fn vm_list(&self) -> (u64, serde_json::Value) {
        let now = Instant::now();
        let visible = self.vm_lists.iter().rev().find(|(from, _, _)| *from <= now);
        let (version, vms) = visible.map_or((0, Vec::new()), |(_, v, vms)| (*v, vms.clone()));
        (version, serde_json::json!({ "version": version, "vms": vms }))
    }
}
