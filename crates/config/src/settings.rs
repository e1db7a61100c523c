//! Schema of the settings file that a process reads at startup, with addresses, the availability
//! zone and local limits.

use crate::error::{ConfigError, ConfigErrors, SourceLocation};
use gypsumchute_units::{RegionId, VmId, ZoneId};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use strum::{Display, EnumString};

/// A control process of another VM, which serves the configuration while the platform is
/// unreachable.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedPeer {
    /// VM of the control process.
    pub vm: VmId,
    /// Availability zone of that VM.
    pub zone: ZoneId,
    /// Address on which the control process listens for other VMs.
    pub address: SocketAddr,
}

/// Settings of a control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Availability zone of that VM.
    pub zone: ZoneId,
    /// Address for connections from control processes of other VMs, over UDP and TCP.
    pub peer_listen: SocketAddr,
    /// Address for connections from the entry process of the same VM, over TCP.
    pub entry_listen: SocketAddr,
    /// HTTP address for operators and the load balancer of the platform.
    pub ops_listen: SocketAddr,
    /// Address of the platform API, which publishes the configuration and the list of VMs.
    pub platform: SocketAddr,
    /// Control processes that serve the configuration while the platform is unreachable.
    #[serde(default)]
    pub seed_peers: Vec<SeedPeer>,
    /// Whether this is the very first start of a fleet, so that no process of an earlier fleet is
    /// running. If true, the process does not wait for leases of earlier processes to expire.
    #[serde(default)]
    pub fresh_fleet: bool,
}

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Availability zone of that VM.
    pub zone: ZoneId,
    /// HTTP address for callers.
    pub listen: SocketAddr,
    /// HTTP address for operators and the load balancer of the platform.
    pub ops_listen: SocketAddr,
    /// Address on which the control process of the same VM listens for the entry process.
    pub control: SocketAddr,
    /// Maximum number of in-flight requests.
    #[serde(default = "default_max_requests")]
    pub max_requests: usize,
    /// Maximum time for which a caller may send nothing within a request or read nothing of a
    /// response, in milliseconds.
    #[serde(default = "default_caller_timeout_ms")]
    pub caller_timeout_ms: u64,
    /// Time for which a generation continues after the caller has disconnected, so that the caller
    /// can resume the stream, in milliseconds.
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

/// Reads a settings file in JSON with comments.
///
/// # Errors
///
/// Returns an error if the file can't be read, or an error with line and column if the file does
/// not match the schema of `T`.
pub fn read_settings<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigErrors> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path)
        .map_err(|err| ConfigErrors::Unreadable(name.clone(), err.to_string()))?;
    parse_to_serde_value(&text, &ParseOptions::default()).map_err(|err| {
        let location = SourceLocation::at(&name, &text, err.range().start);
        let problem = err.kind().to_string();
        let fix = "see docs/OPERATIONS.md for the settings of each process".to_owned();
        ConfigErrors::Invalid(vec![ConfigError { location, problem, fix }])
    })
}

/// The source of a daemon's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigSource {
    /// Address of the platform's store, which has the configuration in the platform's format.
    Store(SocketAddr),
    /// Path of a local folder with configuration files in the format of [`schema`](crate::schema).
    Folder(PathBuf),
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigSource::Store(address) => write!(f, "store {address}"),
            ConfigSource::Folder(folder) => write!(f, "folder {}", folder.display()),
        }
    }
}

/// Settings of a daemon. Each VM runs one daemon, which serves the callers.
///
/// Unknown fields are ignored, because the platform adds fields over time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DaemonSettings {
    /// VM that the daemon runs on.
    pub vm: VmId,
    /// Availability zone of that VM.
    pub zone: ZoneId,
    /// Region of each availability zone.
    pub zone_regions: BTreeMap<ZoneId, RegionId>,
    /// HTTP address for callers.
    pub callers_listen: SocketAddr,
    /// HTTP address of the readiness check, by which the platform learns whether the daemon accepts
    /// new connections.
    pub readiness_listen: SocketAddr,
    /// HTTP address that serves the metrics.
    pub metrics_listen: SocketAddr,
    /// Address for daemons of other VMs, over UDP and TCP. All daemons use the same port.
    pub peers_listen: SocketAddrV4,
    /// Addresses of VMs to contact first. The ports are ignored, because all daemons use the port
    /// of `peers_listen`.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// Source of the configuration.
    pub configuration: ConfigSource,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub shutdown_grace_s: f64,
    /// Maximum number of retries of the fleet per request, averaged over `retry_window_s`.
    pub retry_ratio: f64,
    /// Number of retries that the fleet may make in each window in addition to `retry_ratio`.
    pub retry_fixed: f64,
    /// Length of the window of the retry budget, in seconds.
    pub retry_window_s: f64,
    /// Which overload features are used.
    #[serde(default)]
    pub features: FeatureSettings,
    /// Memory of the VM for the process, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Maximum number of descriptors that the process may open.
    #[serde(default = "default_max_descriptors")]
    pub max_descriptors: usize,
    /// Time without any progress after which a response that its caller does not read is aborted, in
    /// seconds.
    #[serde(default = "default_caller_stall_s")]
    pub caller_stall_s: f64,
}

/// Returns the memory of the smallest VM, in megabytes.
fn default_memory_mb() -> u64 {
    88
}

/// Returns the number of descriptors of the smallest VM.
fn default_max_descriptors() -> usize {
    4_100
}

/// Returns the default of [`DaemonSettings::caller_stall_s`], in seconds. Callers may pause for 20 s
/// between two reads.
fn default_caller_stall_s() -> f64 {
    30.0
}

/// Whether a feature is used.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FeatureMode {
    /// For no service.
    Off,
    /// For the services whose routes call for it.
    #[default]
    Auto,
    /// For all services with engines.
    On,
}

/// Which features for overloaded engines are used. See `docs/HARD-LOAD.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeatureSettings {
    /// Waiting requests are ordered by their latest start, and delay-tolerant generations leave
    /// headroom at the engines.
    pub patient_queueing: FeatureMode,
}

impl DaemonSettings {
    /// Returns the time between SIGTERM and SIGKILL, in milliseconds.
    pub fn shutdown_grace_ms(&self) -> u64 {
        (self.shutdown_grace_s * 1_000.0) as u64
    }

    /// Returns the addresses of [`seeds`](Self::seeds) with the port of `peers_listen`.
    pub fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        let port = self.peers_listen.port();
        self.seeds.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
    }

    /// Returns the time after which a response without progress is aborted, in milliseconds.
    pub fn caller_stall_ms(&self) -> u64 {
        (self.caller_stall_s * 1_000.0) as u64
    }

    /// Returns the length of the window of the retry budget, in milliseconds.
    pub fn retry_window_ms(&self) -> u64 {
        (self.retry_window_s * 1_000.0) as u64
    }
}
