//! Addresses and settings of the processes of a local fleet, whose VMs all run on one machine.

use crate::core::error::OpResult;
use crate::util::ports::free_address;
use gypsumchute_config::{ControlSettings, EntrySettings};
use gypsumchute_standins::platform::ListedVm;
use gypsumchute_units::{VmId, ZoneId};
use std::net::SocketAddr;

/// Maximum time for which a client may send nothing within a request or read nothing of a response,
/// in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 5_000;
/// Time for which a generation continues after the client disconnected, so that the client can
/// resume the stream, in milliseconds.
const RESUME_GRACE_MS: u64 = 5_000;
/// Maximum number of requests in flight per VM.
const MAX_IN_FLIGHT_REQUESTS: usize = 1_024;

/// Identity of one VM and the addresses that its processes listen on.
#[derive(Debug, Clone)]
pub struct VmPlan {
    /// VM id.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address on which the entry process accepts client requests.
    pub frontend_address: SocketAddr,
    /// Operations address of the entry process, which serves health and diagnostic pages.
    pub entry_ops_address: SocketAddr,
    /// Operations address of the control process, which serves the status page.
    pub control_ops_address: SocketAddr,
    /// Address on which the control process accepts the connection of the entry process.
    pub control_address: SocketAddr,
    /// Address on which the control process accepts connections of other VMs.
    pub peer_address: SocketAddr,
}

impl VmPlan {
    /// Assigns free loopback ports to a VM.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn new(vm: VmId, zone: ZoneId) -> OpResult<Self> {
        Ok(VmPlan {
            vm,
            zone,
            frontend_address: free_address()?,
            entry_ops_address: free_address()?,
            control_ops_address: free_address()?,
            control_address: free_address()?,
            peer_address: free_address()?,
        })
    }

    /// Returns the entry of the VM in the platform's list of VMs.
    pub fn to_listed_vm(&self) -> ListedVm {
        ListedVm {
            id: self.vm.to_string(),
            zone: self.zone.to_string(),
            address: self.peer_address,
            leaving: false,
        }
    }

    /// Returns the settings of the entry process.
    pub fn entry_settings(&self) -> EntrySettings {
        EntrySettings {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            listen: self.frontend_address,
            ops_listen: self.entry_ops_address,
            control: self.control_address,
            max_requests: MAX_IN_FLIGHT_REQUESTS,
            caller_timeout_ms: CALLER_TIMEOUT_MS,
            resume_grace_ms: RESUME_GRACE_MS,
        }
    }

    /// Returns the settings of the control process. `fresh_fleet` is true only on the very first
    /// start of a fleet: no process of an earlier fleet is alive, so the control process need not
    /// wait at startup for leases of earlier processes to expire.
    pub fn control_settings(&self, platform: SocketAddr, fresh_fleet: bool) -> ControlSettings {
        ControlSettings {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            peer_listen: self.peer_address,
            entry_listen: self.control_address,
            ops_listen: self.control_ops_address,
            platform,
            seed_peers: Vec::new(),
            fresh_fleet,
        }
    }
}

/// VMs of a local fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// VMs in the order of their numbers.
    pub vms: Vec<VmPlan>,
}

impl FleetPlan {
    /// Plans `count` VMs, assigned to `zones` round-robin.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub fn new(zones: &[ZoneId], count: usize) -> OpResult<Self> {
        let mut vms = Vec::new();
        for (number, zone) in zones.iter().cycle().take(count).enumerate() {
            let vm = format!("vm-{}", number + 1);
            let vm = vm.parse().expect("a number after a valid prefix is a valid id");
            vms.push(VmPlan::new(vm, zone.clone())?);
        }
        Ok(FleetPlan { vms })
    }

    /// Returns the platform's list of VMs.
    pub fn listed_vms(&self) -> Vec<ListedVm> {
        self.vms.iter().map(VmPlan::to_listed_vm).collect()
    }
}
