//! The platform's list of entry VMs, as last read or relayed.

use gypsumchute_units::{VmId, ZoneId};
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VmRecord {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where its control process listens for other VMs.
    pub address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// A version of the list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct VmList {
    /// The platform's number of this version.
    pub version: u64,
    /// The VMs.
    pub vms: BTreeMap<VmId, VmRecord>,
}

impl VmList {
    /// The VMs of `zone`.
    pub fn of_zone<'a>(
        &'a self,
        zone: &'a ZoneId,
    ) -> impl Iterator<Item = (&'a VmId, &'a VmRecord)> {
        self.vms.iter().filter(move |(_, record)| record.zone == *zone)
    }
}
