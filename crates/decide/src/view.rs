//! A set of VMs that act together, and its name.

use crate::limits::view_lease_ms;
use gypsumchute_units::VmId;
use gypsumchute_units::rendezvous;
use std::collections::BTreeMap;

/// Names a view in messages; 0 means none.
pub type ViewId = u64;
/// No view.
pub const NO_VIEW: ViewId = 0;

/// A set of VMs that act together.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct View {
    pub(crate) members: BTreeMap<VmId, u64>,
    pub(crate) id: ViewId,
}

impl View {
    /// The view of these VMs in these incarnations.
    pub(crate) fn new(members: BTreeMap<VmId, u64>) -> Self {
        let mut parts = Vec::new();
        for (vm, incarnation) in &members {
            parts.push(vm.as_str().to_owned());
            parts.push(incarnation.to_string());
        }
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        View { id: rendezvous::hash64(&parts).max(1), members }
    }

    /// Its name in messages.
    pub fn id(&self) -> ViewId {
        self.id
    }

    /// Its members.
    pub fn members(&self) -> impl Iterator<Item = &VmId> {
        self.members.keys()
    }

    /// How long a member's support of it lasts.
    pub(crate) fn lease_ms(&self) -> u64 {
        view_lease_ms(self.members.len())
    }
}
