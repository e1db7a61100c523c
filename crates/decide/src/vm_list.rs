//! The list of VMs that the platform publishes, read directly or fetched from a peer.

use gypsumchute_units::{VmId, ZoneId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmRecord {
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address on which the control process of the VM listens for other VMs.
    pub address: SocketAddr,
    /// Whether the platform has announced the termination of the VM.
    pub leaving: bool,
}

/// A version of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct VmList {
    /// Version number that the platform assigned.
    pub version: u64,
    /// VMs by name.
    pub vms: BTreeMap<VmId, VmRecord>,
}

impl VmList {
    /// Returns the VMs of `zone`.
    pub fn in_zone<'a>(
        &'a self,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = (&'a VmId, &'a VmRecord)> {
        self.vms.iter().filter(move |(_, record)| record.zone == *zone)
    }
}
