//! Shared state that the node passes to a component while the component handles an event.

use crate::Identity;
use crate::membership::Membership;
use crate::vm_list::VmList;
use gypsumchute_config::FleetConfig;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_units::{BootMs, VmId};
use rand::rngs::StdRng;
use std::collections::VecDeque;

/// A queued message to another VM or to this one.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingMessage {
    pub(crate) to: VmId,
    pub(crate) body: Body,
}

/// State of the node that a component reads or extends while it handles an event.
pub(crate) struct Context<'a> {
    /// Time of the event.
    pub(crate) now: BootMs,
    /// Name, zone and incarnation of this VM.
    pub(crate) identity: &'a Identity,
    /// Configuration in force.
    pub(crate) config: &'a FleetConfig,
    /// VM list in force.
    pub(crate) vm_list: &'a VmList,
    /// Membership of the zone of this VM.
    pub(crate) membership: &'a Membership,
    pub(crate) rng: &'a mut StdRng,
    /// Messages that the node sends after the event is handled.
    pub(crate) outbox: &'a mut VecDeque<OutgoingMessage>,
}

impl Context<'_> {
    /// Queues the message `body` for the VM `to`.
    pub(crate) fn send(&mut self, to: &VmId, body: Body) {
        self.outbox.push_back(OutgoingMessage { to: to.clone(), body });
    }

    /// Reports whether `vm` is this VM.
    pub(crate) fn is_this_vm(&self, vm: &VmId) -> bool {
        *vm == self.identity.vm
    }
}
