//! The settings file that each process starts from: its addresses and its availability zone.

use crate::error::{ConfigError, ConfigErrors, Place};
use gypsumchute_units::{VmId, ZoneId};
use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

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
        let fix = "see docs/OPERATING.md for the settings of each process".to_owned();
        ConfigErrors::Invalid(vec![ConfigError { place, problem, fix }])
    })
}
