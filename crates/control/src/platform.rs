//! The platform's service, which can only be read: configuration values and the list of VMs.
//!
//! [`Platform`] is the edge: another form of the service is another implementation. A watch waits
//! at the platform until something is newer than what is held, and counts as one call.

use crate::config_store::{ConfigStore, Update};
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

/// How long a watch waits at the platform.
const WATCH_MS: u64 = 1_000;
/// How long an answer may take beyond that.
const ANSWER_MS: u64 = 1_000;
/// Wait after a failed call.
const FAILED_WAIT_MS: u64 = 250;
/// Wait between two looks at whether this VM shall read.
const IDLE_WAIT_MS: u64 = 50;

/// What the system needs of the platform.
pub trait Platform: Send + Sync {
    /// Waits for values newer than `after`; answers what changed, or nothing after a while.
    fn watch_config(&self, after: u64) -> Result<ConfigValues, CallError>;
    /// Waits for a list newer than `after`; answers it, or the same one after a while.
    fn watch_list(&self, after: u64) -> Result<VmList, CallError>;
}

/// The platform over HTTP.
#[derive(Debug, Clone, Copy)]
pub struct HttpPlatform {
    address: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct ConfigAnswer {
    version: u64,
    values: Vec<ValueAnswer>,
    /// The first name of the next page, where the answer would exceed a megabyte.
    next: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ValueAnswer {
    name: String,
    version: u64,
    /// Absent for a deleted value.
    text: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ListAnswer {
    version: u64,
    vms: Vec<VmAnswer>,
}

#[derive(Debug, Deserialize)]
struct VmAnswer {
    id: VmId,
    zone: gypsumchute_units::ZoneId,
    address: SocketAddr,
    leaving: bool,
}

impl HttpPlatform {
    /// The platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        HttpPlatform { address }
    }

    fn page(&self, after: u64, wait_ms: u64, from: &str) -> Result<ConfigAnswer, CallError> {
        let path = format!("/v1/config?after={after}&wait_ms={wait_ms}&from={from}");
        get_json(self.address, &path, wait_ms + ANSWER_MS)
    }
}

impl Platform for HttpPlatform {
    fn watch_config(&self, after: u64) -> Result<ConfigValues, CallError> {
        let mut page = self.page(after, WATCH_MS, "")?;
        let mut changes = ConfigValues { version: page.version, values: Vec::new() };
        loop {
            if page.version != changes.version {
                changes = ConfigValues { version: page.version, values: Vec::new() };
                page = self.page(after, 0, "")?;
                continue;
            }
            changes.values.extend(page.values.into_iter().map(|value| ConfigValue {
                name: value.name,
                version: value.version,
                deleted: value.text.is_none(),
                text: value.text.unwrap_or_default(),
            }));
            match page.next {
                Some(next) => page = self.page(after, 0, &next)?,
                None => return Ok(changes),
            }
        }
    }

    fn watch_list(&self, after: u64) -> Result<VmList, CallError> {
        let path = format!("/v1/vms?after={after}&wait_ms={WATCH_MS}");
        let answer: ListAnswer = get_json(self.address, &path, WATCH_MS + ANSWER_MS)?;
        let vms: BTreeMap<VmId, VmRecord> = answer
            .vms
            .into_iter()
            .map(|vm| {
                let record = VmRecord { zone: vm.zone, address: vm.address, leaving: vm.leaving };
                (vm.id, record)
            })
            .collect();
        Ok(VmList { version: answer.version, vms })
    }
}

/// What the reading threads share with the process.
#[derive(Clone)]
pub struct Readers {
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Whether this VM shall read.
    pub reads: Arc<AtomicBool>,
    /// Whether the process ends.
    pub stopped: Arc<AtomicBool>,
    /// The raw configuration.
    pub store: ConfigStore,
    /// Where events go.
    pub inputs: Sender<Input>,
}

impl Readers {
    /// Starts the threads that watch the platform whenever this VM shall read it.
    pub fn spawn(self) {
        let other = self.clone();
        thread::spawn(move || self.run(Readers::watch_config));
        thread::spawn(move || {
            let mut version = 0;
            other.run(|readers| readers.watch_list(&mut version));
        });
    }

    fn run(&self, mut watch: impl FnMut(&Readers) -> Result<(), CallError>) {
        while !self.stopped.load(Ordering::Relaxed) {
            if !self.reads.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(IDLE_WAIT_MS));
                continue;
            }
            if let Err(err) = watch(self) {
                log::debug!(error:% = err; "platform call failed");
                thread::sleep(Duration::from_millis(FAILED_WAIT_MS));
            }
        }
    }

    fn watch_config(&self) -> Result<(), CallError> {
        let changes = self.platform.watch_config(self.store.version())?;
        let confirmed = Event::ConfigConfirmed(changes.version);
        take_changes(&self.store, &self.inputs, changes);
        let _ = self.inputs.send(Input::Event(confirmed));
        Ok(())
    }

    fn watch_list(&self, version: &mut u64) -> Result<(), CallError> {
        let list = self.platform.watch_list(*version)?;
        *version = list.version;
        let _ = self.inputs.send(Input::Event(Event::List(list)));
        Ok(())
    }
}

/// Takes changes into the store and tells the decisions what they led to.
pub fn take_changes(store: &ConfigStore, inputs: &Sender<Input>, changes: ConfigValues) {
    let event = match store.apply(changes) {
        Update::Old => return,
        Update::Good(config) => {
            log::info!(version = config.version; "configuration accepted");
            Event::Config(config)
        }
        Update::Refused(version, errors) => {
            log::error!(version, errors:% = errors; "configuration refused, the last one stays");
            Event::ConfigRefused(version)
        }
    };
    let _ = inputs.send(Input::Event(event));
}
