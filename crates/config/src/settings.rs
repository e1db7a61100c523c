//! The settings file that each process starts from: its addresses and its availability zone.

use crate::error::{ConfigError, ConfigErrors, Place};
use gypsumchute_units::{RegionId, VmId, ZoneId};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// A control process to ask for the configuration while the platform can't be reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedPeer {
    /// Its VM.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
}

/// Settings of a control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The VM it runs on.
    pub vm: VmId,
    /// The availability zone of that VM.
    pub zone: ZoneId,
    /// Where it listens for control processes of other VMs, over UDP and TCP.
    pub peer_listen: SocketAddr,
    /// Where it listens for the entry process of its VM, over TCP.
    pub entry_listen: SocketAddr,
    /// Where operators and the platform's balancer reach it, over HTTP.
    pub ops_listen: SocketAddr,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Control processes to ask while the platform can't be reached.
    #[serde(default)]
    pub seed_peers: Vec<SeedPeer>,
    /// True only at the very first start of a fleet: no process of an earlier one is alive, so
    /// that nothing need be waited out.
    #[serde(default)]
    pub fresh_fleet: bool,
}

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The VM it runs on.
    pub vm: VmId,
    /// The availability zone of that VM.
    pub zone: ZoneId,
    /// Where callers reach it, over HTTP.
    pub listen: SocketAddr,
    /// Where operators and the platform's balancer reach it, over HTTP.
    pub ops_listen: SocketAddr,
    /// Where the control process of this VM listens for it.
    pub control: SocketAddr,
    /// Requests in progress that it bears at once.
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// How long a caller may be silent within a request, or leave an answer unread.
    #[serde(default = "default_caller_timeout_ms")]
    pub caller_timeout_ms: u64,
    /// How long a generation whose caller has gone runs on, so that the caller may resume it.
    #[serde(default = "default_resume_grace_ms")]
    pub resume_grace_ms: u64,
}

fn default_max_requests() -> usize {
    1_024
}

fn default_caller_timeout_ms() -> u64 {
    10_000
}

fn default_resume_grace_ms() -> u64 {
    10_000
}

/// Reads a settings file of JSON with comments.
///
/// # Errors
///
/// The file can't be read, or what in it doesn't fit, with line and column.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigErrors> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|err| ConfigErrors::Unreadable(name.clone(), err.to_string()))?;
    parse_to_serde_value(&text, &ParseOptions::default()).map_err(|err| {
        let place = Place::at(&name, &text, err.range().start);
        let problem = err.kind().to_string();
        let fix = "see docs/OPERATIONS.md for the settings of each process".to_owned();
        ConfigErrors::Invalid(vec![ConfigError { place, problem, fix }])
    })
}

/// Where a daemon's configuration comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationSource {
    /// The platform's store, in the platform's format.
    Store(SocketAddr),
    /// A folder of this VM, in the project's own format.
    Folder(PathBuf),
}

impl fmt::Display for ConfigurationSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigurationSource::Store(address) => write!(f, "store {address}"),
            ConfigurationSource::Folder(folder) => write!(f, "folder {}", folder.display()),
        }
    }
}

/// Settings of a daemon: one process a VM that serves callers.
///
/// Fields that are not listed here are ignored, since the platform adds some over time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonSettings {
    /// The VM it runs on.
    pub vm: VmId,
    /// The availability zone of that VM.
    pub zone: ZoneId,
    /// The region of each availability zone.
    pub zone_regions: BTreeMap<ZoneId, RegionId>,
    /// Where callers reach it, over HTTP.
    pub callers_listen: SocketAddr,
    /// Where the platform asks whether it takes new connections.
    pub readiness_listen: SocketAddr,
    /// Where it shows its metrics.
    pub metrics_listen: SocketAddr,
    /// Where it hears daemons of other VMs, over UDP and TCP.
    pub peers_listen: SocketAddrV4,
    /// Some VMs to begin with. Only the IP numbers count: all daemons use the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Where the configuration comes from.
    pub configuration: ConfigurationSource,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown_grace_s: f64,
    /// Retries that the fleet may make for each request, over `retry_window_s`.
    pub retry_ratio: f64,
    /// Retries that the fleet may make beyond that in each window.
    pub retry_fixed: f64,
    /// Length of the window in which retries are counted.
    pub retry_window_s: f64,
}

impl DaemonSettings {
    /// Time between SIGTERM and SIGKILL, in ms.
    pub fn shutdown_grace_ms(&self) -> u64 {
        (self.shutdown_grace_s * 1_000.0) as u64
    }

    /// The seeds with the port on which all daemons hear each other.
    pub fn peer_seeds(&self) -> Vec<SocketAddrV4> {
        let port = self.peers_listen.port();
        self.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
    }

    /// Length of the window in which retries are counted, in ms.
    pub fn retry_window_ms(&self) -> u64 {
        (self.retry_window_s * 1_000.0) as u64
    }
}
