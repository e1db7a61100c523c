//! Reads the configuration and the VM list from the platform, whose API is read-only.
//!
//! [`PlatformClient`] is the interface to implement for another platform API. Reads are long polls,
//! here called watches: the platform answers when it has a newer version than the one that the VM
//! holds, or after a maximum wait. The platform counts a watch as one call.

use crate::config_store::{ConfigStore, ConfigUpdate};
use crate::http::{CallError, get_json};
use crate::process::Input;
use flume::Sender;
use gypsumchute_decide::{Event, VmList, VmRecord};
use gypsumchute_proto::local::{ConfigValue, ConfigValues};
use gypsumchute_units::VmId;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Maximum time that a watch waits at the platform, in milliseconds. It is well below the
/// configuration age at which a VM that is not a reader calls the platform itself, so that one
/// delayed response does not cause calls by such VMs.
const WATCH_MS: u64 = 1_000;
/// Timeout of a platform call in milliseconds, not counting the wait that the call requests.
const RESPONSE_TIMEOUT_MS: u64 = 1_000;
/// Maximum size of a response, in bytes. A page has values of up to 2 MB, the list of VMs less.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;
/// Delay between a failed platform call and the next one, in milliseconds.
const RETRY_DELAY_MS: u64 = 250;
/// Interval at which a paused reader thread checks whether this VM has to read the platform again,
/// in milliseconds.
const PAUSED_CHECK_MS: u64 = 50;

/// A client of the platform API.
pub trait PlatformClient: Send + Sync {
    /// Waits for a configuration newer than version `after` and returns the values that changed
    /// since then. Returns no values if the maximum wait ends first.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the platform sends no valid response in time.
    fn watch_config(&self, after: u64) -> Result<ConfigValues, CallError>;
    /// Waits for a VM list newer than version `after` and returns it. Returns the current list if
    /// the maximum wait ends first.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the platform sends no valid response in time.
    fn watch_vm_list(&self, after: u64) -> Result<VmList, CallError>;
}

/// A client of the platform API over HTTP.
#[derive(Debug, Clone, Copy)]
pub struct HttpPlatformClient {
    address: SocketAddr,
}

/// A page of changed configuration values.
#[derive(Debug, Deserialize)]
struct ConfigPage {
    version: u64,
    values: Vec<ValueEntry>,
    /// Name of the first value on the next page; `None` on the last page. The platform splits a
    /// response that would exceed one megabyte into pages.
    #[serde(rename = "next")]
    next_page_start: Option<String>,
}

/// A configuration value that changed.
#[derive(Debug, Deserialize)]
struct ValueEntry {
    name: String,
    /// Configuration version in which the value was last changed.
    version: u64,
    /// Content of the value; `None` if the value was deleted.
    text: Option<String>,
}

/// A version of the VM list.
#[derive(Debug, Deserialize)]
struct VmListResponse {
    version: u64,
    vms: Vec<VmEntry>,
}

/// A VM of the VM list.
#[derive(Debug, Deserialize)]
struct VmEntry {
    id: VmId,
    zone: gypsumchute_units::ZoneId,
    address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    leaving: bool,
}

impl HttpPlatformClient {
    /// Creates a client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpPlatformClient { address }
    }

    /// Requests one page of the values that changed after version `after`, starting with the value
    /// named `from`.
    fn get_config_page(
        &self,
        after: u64,
        wait_ms: u64,
        from: &str,
    ) -> Result<ConfigPage, CallError> {
        let path = format!("/v1/config?after={after}&wait_ms={wait_ms}&from={from}");
        get_json(self.address, &path, wait_ms + RESPONSE_TIMEOUT_MS, MAX_RESPONSE_BYTES)
    }
}

impl PlatformClient for HttpPlatformClient {
    fn watch_config(&self, after: u64) -> Result<ConfigValues, CallError> {
        let mut page = self.get_config_page(after, WATCH_MS, "")?;
        let mut changes = ConfigValues { version: page.version, values: Vec::new() };
        loop {
            // If the configuration changed between two pages, start over, so that all pages are of
            // the same version.
            if page.version != changes.version {
                changes = ConfigValues { version: page.version, values: Vec::new() };
                page = self.get_config_page(after, 0, "")?;
                continue;
            }
            changes.values.extend(page.values.into_iter().map(|value| ConfigValue {
                name: value.name,
                version: value.version,
                deleted: value.text.is_none(),
                text: value.text.unwrap_or_default(),
            }));
            match page.next_page_start {
                Some(start) => page = self.get_config_page(after, 0, &start)?,
                None => return Ok(changes),
            }
        }
    }

    fn watch_vm_list(&self, after: u64) -> Result<VmList, CallError> {
        let path = format!("/v1/vms?after={after}&wait_ms={WATCH_MS}");
        let response: VmListResponse =
            get_json(self.address, &path, WATCH_MS + RESPONSE_TIMEOUT_MS, MAX_RESPONSE_BYTES)?;
        let vms: BTreeMap<VmId, VmRecord> = response
            .vms
            .into_iter()
            .map(|vm| {
                let record = VmRecord { zone: vm.zone, address: vm.address, leaving: vm.leaving };
                (vm.id, record)
            })
            .collect();
        Ok(VmList { version: response.version, vms })
    }
}

/// The threads that read the platform, and the state that they share with the decision thread.
#[derive(Clone)]
pub struct PlatformReaders {
    /// Client of the platform API.
    pub platform: Arc<dyn PlatformClient>,
    /// Whether this VM has to read the platform; the threads pause while it is false.
    pub reads_platform: Arc<AtomicBool>,
    /// Whether the decision thread has ended; the reader threads then end too.
    pub stopped: Arc<AtomicBool>,
    /// Raw configuration values that this VM holds.
    pub config_store: ConfigStore,
    /// Sender to the queue of the decision thread.
    pub inputs: Sender<Input>,
}

impl PlatformReaders {
    /// Starts one thread that reads the configuration and one that reads the VM list.
    pub fn spawn(self) {
        let list_readers = self.clone();
        thread::spawn(move || self.run(PlatformReaders::read_config));
        thread::spawn(move || {
            let mut version = 0;
            list_readers.run(|readers| readers.read_vm_list(&mut version));
        });
    }

    /// Calls `read` repeatedly while this VM has to read the platform, until the decision thread
    /// has ended.
    fn run(&self, mut read: impl FnMut(&PlatformReaders) -> Result<(), CallError>) {
        while !self.stopped.load(Ordering::Relaxed) {
            if !self.reads_platform.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(PAUSED_CHECK_MS));
                continue;
            }
            if let Err(err) = read(self) {
                log::debug!(error:% = err; "call to the platform failed; retrying after a delay");
                thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
            }
        }
    }

    /// Watches the configuration once and reports the changes and the confirmed version to the
    /// decision thread.
    fn read_config(&self) -> Result<(), CallError> {
        let changes = self.platform.watch_config(self.config_store.version())?;
        let confirmation = Event::ConfigConfirmed(changes.version);
        apply_config_changes(&self.config_store, &self.inputs, changes);
        let _ = self.inputs.send(Input::Event(confirmation));
        Ok(())
    }

    /// Watches the VM list once for a version newer than `version`, updates `version` and reports
    /// the list to the decision thread.
    fn read_vm_list(&self, version: &mut u64) -> Result<(), CallError> {
        let list = self.platform.watch_vm_list(*version)?;
        *version = list.version;
        let _ = self.inputs.send(Input::Event(Event::VmList(list)));
        Ok(())
    }
}

/// Applies changes to the configuration store and reports the resulting configuration, or that the
/// changes were rejected, to the decision thread. Reports nothing if the changes are stale.
pub fn apply_config_changes(
    config_store: &ConfigStore,
    inputs: &Sender<Input>,
    changes: ConfigValues,
) {
    let event = match config_store.apply(changes) {
        ConfigUpdate::Stale => return,
        ConfigUpdate::Accepted(config) => {
            log::info!(version = config.version; "configuration accepted");
            Event::Config(config)
        }
        ConfigUpdate::Rejected(version, errors) => {
            log::error!(
                version, errors:% = errors;
                "configuration rejected; the previous one stays in force"
            );
            Event::ConfigRefused(version)
        }
    };
    let _ = inputs.send(Input::Event(event));
}
