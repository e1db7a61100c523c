//! Views: sets of VMs that act together in an availability zone.

use crate::limits::view_lease_ms;
use gypsumchute_units::VmId;
use gypsumchute_units::rendezvous;
use std::collections::BTreeMap;

/// Identifies a view in messages.
pub type ViewId = u64;
/// Identifier that stands for the absence of a view.
pub const NO_VIEW: ViewId = 0;

/// A set of VMs, each in one incarnation, that act together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct View {
    /// Members with their incarnations.
    pub(crate) members: BTreeMap<VmId, u64>,
    /// Hash of the members and their incarnations; [`NO_VIEW`] only for the default value.
    pub(crate) id: ViewId,
}

impl View {
    /// Returns the view of these VMs in these incarnations.
    pub(crate) fn new(members: BTreeMap<VmId, u64>) -> Self {
        let mut parts = Vec::new();
        for (vm, incarnation) in &members {
            parts.push(vm.as_str().to_owned());
            parts.push(incarnation.to_string());
        }
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        View { id: rendezvous::hash64(&parts).max(1), members }
    }

    /// Returns the identifier of the view.
    pub fn id(&self) -> ViewId {
        self.id
    }

    /// Returns the members in ascending order of their names.
    pub fn members(&self) -> impl Iterator<Item = &VmId> {
        self.members.keys()
    }

    /// Returns the duration for which a heartbeat of a member supports the view, in milliseconds.
    pub(crate) fn lease_ms(&self) -> u64 {
        view_lease_ms(self.members.len())
    }
}
