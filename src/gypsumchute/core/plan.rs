//! Where the processes of a fleet on one machine listen, and their settings.

use crate::core::error::OpResult;
use crate::util::ports::free_address;
use gypsumchute_config::{ControlSettings, EntrySettings};
use gypsumchute_standins::platform::ListedVm;
use gypsumchute_units::{VmId, ZoneId};
use std::net::SocketAddr;

/// How long a caller may be silent in a fleet on one machine.
const CALLER_TIMEOUT_MS: u64 = 5_000;
/// How long a generation without a caller runs on in a fleet on one machine.
const RESUME_GRACE_MS: u64 = 5_000;
/// Requests in progress that one VM bears.
const MAX_REQUESTS: usize = 1_024;

/// The addresses of one VM.
#[derive(Debug, Clone)]
pub struct VmPlan {
    /// Its id.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Callers' port.
    pub listen: SocketAddr,
    /// Operators' port of the entry process.
    pub entry_ops: SocketAddr,
    /// Operators' port of the control process.
    pub control_ops: SocketAddr,
    /// Where the control process listens for the entry process.
    pub control: SocketAddr,
    /// Where the control process listens for other VMs.
    pub peer: SocketAddr,
}

impl VmPlan {
    /// A VM with free ports of this machine.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn new(vm: VmId, zone: ZoneId) -> OpResult<Self> {
        Ok(VmPlan {
            vm,
            zone,
            listen: free_address()?,
            entry_ops: free_address()?,
            control_ops: free_address()?,
            control: free_address()?,
            peer: free_address()?,
        })
    }

    /// As the platform lists it.
    pub fn listed(&self) -> ListedVm {
        ListedVm {
            id: self.vm.to_string(),
            zone: self.zone.to_string(),
            address: self.peer,
            leaving: false,
        }
    }

    /// Settings of its entry process.
    pub fn entry_settings(&self) -> EntrySettings {
        EntrySettings {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            listen: self.listen,
            ops_listen: self.entry_ops,
            control: self.control,
            max_requests: MAX_REQUESTS,
            caller_timeout_ms: CALLER_TIMEOUT_MS,
            resume_grace_ms: RESUME_GRACE_MS,
        }
    }

    /// Settings of its control process.
    pub fn control_settings(&self, platform: SocketAddr, fresh_fleet: bool) -> ControlSettings {
        ControlSettings {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            peer_listen: self.peer,
            entry_listen: self.control,
            ops_listen: self.control_ops,
            platform,
            seed_peers: Vec::new(),
            fresh_fleet,
        }
    }
}

/// The VMs of a fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// All of them.
    pub vms: Vec<VmPlan>,
}

impl FleetPlan {
    /// `count` VMs, dealt out to `zones` in turn.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub fn new(zones: &[ZoneId], count: usize) -> OpResult<Self> {
        let mut vms = Vec::new();
        for (number, zone) in zones.iter().cycle().take(count).enumerate() {
            let vm = format!("vm-{}", number + 1);
            let vm = vm.parse().expect("a number after a valid prefix is a valid id");
            vms.push(VmPlan::new(vm, zone.clone())?);
        }
        Ok(FleetPlan { vms })
    }

    /// As the platform lists them.
    pub fn listed(&self) -> Vec<ListedVm> {
        self.vms.iter().map(VmPlan::listed).collect()
    }
}
