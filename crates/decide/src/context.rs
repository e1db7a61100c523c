//! What every part of the node sees of the others while it handles an event.

use crate::Identity;
use crate::membership::Membership;
use crate::vm_list::VmList;
use gypsumchute_config::FleetConfig;
use gypsumchute_proto::peer::peer_frame::Body;
use gypsumchute_units::{BootMs, VmId};
use rand::rngs::StdRng;
use std::collections::VecDeque;

/// A message to another VM, or to this one.
#[derive(Debug, Clone)]
pub(crate) struct Outgoing {
    pub(crate) to: VmId,
    pub(crate) body: Body,
}

/// The surroundings of one decision, passed explicitly.
pub(crate) struct Context<'a> {
    pub(crate) now: BootMs,
    pub(crate) me: &'a Identity,
    pub(crate) config: &'a FleetConfig,
    pub(crate) list: &'a VmList,
    pub(crate) members: &'a Membership,
    pub(crate) rng: &'a mut StdRng,
    pub(crate) outbox: &'a mut VecDeque<Outgoing>,
}

impl Context<'_> {
    /// Queues `body` for `to`.
    pub(crate) fn send(&mut self, to: &VmId, body: Body) {
        self.outbox.push_back(Outgoing { to: to.clone(), body });
    }

    /// Whether `vm` is this VM.
    pub(crate) fn is_me(&self, vm: &VmId) -> bool {
        *vm == self.me.vm
    }
}
