//! A fleet in virtual time: the daemon's decisions on a simulated network that loses datagrams.

use gypsumchute_daemon::context::CRASH_RETENTION_MS;
use gypsumchute_fleet::members::HeartbeatSender;
use gypsumchute_fleet::{CopyProgress, Membership, PeerAddress};
use gypsumchute_routing::crash_reports::{Audience, CrashReport, CrashReports, Suspects};
use gypsumchute_routing::poison::PoisonTracker;
use gypsumchute_routing::poison_segments::SuspectRun;
use gypsumchute_units::{BootMs, Fingerprint};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};

pub const START: BootMs = BootMs(1_000_000);
pub const STEP_MS: u64 = 20;
pub const POISON: Fingerprint = Fingerprint(7);
pub const POISON_SEGMENT: Fingerprint = Fingerprint(8);
/// Number of crashes after which the request is refused.
const MAX_CRASHES: usize = 3;
/// Time until each VM of a fleet has heard of the others, in milliseconds.
const DISCOVERY_MS: u64 = 10_000;

/// State of one VM that takes part in the spreading of crash reports.
pub struct Vm {
    pub members: Membership,
    pub suspects: Suspects,
    reports: CrashReports,
    next_heartbeat_ms: BootMs,
}

/// Simulated fleet whose VMs exchange heartbeats.
pub struct SimulatedFleet {
    pub vms: BTreeMap<SocketAddrV4, Vm>,
    pub now: BootMs,
    pub rng: StdRng,
    /// Fraction of the datagrams that are lost.
    loss: f64,
    /// VMs that neither send nor receive.
    pub cut_off: BTreeSet<SocketAddrV4>,
    /// VMs that receive nothing, although what they send arrives.
    pub deaf: BTreeSet<SocketAddrV4>,
    /// Number of crash reports sent.
    pub reports_sent: usize,
}

/// Returns the identity and address of the VM with this number.
pub fn peer(vm: usize, zones: usize) -> PeerAddress {
    PeerAddress {
        vm: format!("vm-{vm:03}").parse().expect("valid id"),
        zone: format!("zone-{}", vm % zones).parse().expect("valid id"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, (vm / 250) as u8, vm as u8), 7_200),
    }
}

impl SimulatedFleet {
    /// Creates a fleet and runs it until the VMs have heard of each other.
    pub fn start(vms: usize, zones: usize, loss: f64) -> Self {
        let mut fleet = SimulatedFleet::new(vms, zones, loss);
        fleet.run(DISCOVERY_MS);
        fleet
    }

    /// Creates a fleet whose VMs start at the same time. `loss` is the fraction of the datagrams
    /// that are lost.
    pub fn new(vms: usize, zones: usize, loss: f64) -> Self {
        let seeds: Vec<_> = (0..3).map(|vm| peer(vm, zones).address).collect();
        let vms = (0..vms).map(|vm| {
            let me = peer(vm, zones);
            let state = Vm {
                members: Membership::new(START, me.clone(), seeds.clone()),
                suspects: Suspects {
                    requests: PoisonTracker::new(MAX_CRASHES),
                    ..Suspects::default()
                },
                reports: CrashReports::default(),
                next_heartbeat_ms: START,
            };
            (me.address, state)
        });
        SimulatedFleet {
            vms: vms.collect(),
            now: START,
            rng: StdRng::seed_from_u64(7),
            loss,
            cut_off: BTreeSet::new(),
            deaf: BTreeSet::new(),
            reports_sent: 0,
        }
    }

    /// Advances the time and delivers the heartbeats that become due.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now = self.now + STEP_MS;
            for address in self.vms.keys().copied().collect::<Vec<_>>() {
                if self.vms[&address].next_heartbeat_ms <= self.now {
                    self.send_heartbeat(address, None);
                }
            }
        }
    }

    /// Sends a heartbeat of the VM at `from`: to its contacts, or as a reply to one VM.
    fn send_heartbeat(&mut self, from: SocketAddrV4, reply_to: Option<SocketAddrV4>) {
        let (now, loss) = (self.now, self.loss);
        let sender = self.vms.get_mut(&from).expect("known VM");
        let (audience, count) = match reply_to {
            Some(_) => (Audience::Newcomer, 48),
            None => (Audience::Contacts, sender.members.members_per_heartbeat()),
        };
        let targets = match reply_to {
            Some(target) => vec![target],
            None => {
                let targets = sender.members.next_heartbeat_targets(now);
                sender.next_heartbeat_ms = now + sender.members.heartbeat_interval_ms();
                targets
            }
        };
        let named = sender.members.sample_members(now, count, &mut self.rng);
        let reports = sender.reports.next_reports(now, &sender.suspects, audience);
        let me = sender.members.local_vm().clone();
        for target in targets {
            self.reports_sent += reports.crashes.len();
            let is_lost = self.rng.random_bool(loss) || !self.is_delivered(from, target);
            if is_lost {
                continue;
            }
            let receiver = self.vms.get_mut(&target).expect("known VM");
            let heartbeat = HeartbeatSender {
                peer: me.clone(),
                reads_platform: false,
                store_progress: CopyProgress::default(),
                cut_off_services: BTreeSet::new(),
            };
            let is_new = receiver.members.on_heartbeat(now, heartbeat);
            named.iter().for_each(|peer| receiver.members.on_mentioned(now, peer.clone()));
            let is_gateway = receiver.members.is_gateway(now);
            for report in reports.crashes.iter().cloned() {
                receiver.reports.record(now, &mut receiver.suspects, report, is_gateway);
            }
            for poison in &reports.poison_requests {
                receiver.suspects.requests.refuse(now, *poison);
            }
            for sound in &reports.sound_segments {
                receiver.suspects.segments.on_sound_at_peer(now, *sound);
            }
            for poison in &reports.poison_segments {
                receiver.suspects.refuse_segment(now, *poison);
            }
            if is_new {
                self.send_heartbeat(target, Some(me.address));
            }
        }
    }

    /// Reports whether a datagram crosses the partitions.
    fn is_delivered(&self, from: SocketAddrV4, to: SocketAddrV4) -> bool {
        self.cut_off.contains(&from) == self.cut_off.contains(&to) && !self.deaf.contains(&to)
    }

    /// Lets an endpoint crash under the poison request of the VM with this number.
    pub fn crash(&mut self, vm: usize, zones: usize, number: u64) {
        let endpoint = format!("engine-{number}").parse().expect("valid id");
        let run = SuspectRun { request: POISON, segments: Vec::new(), answer_began: false };
        let crash = CrashReport { run, endpoint, number, keep_ms: CRASH_RETENTION_MS };
        let vm = self.vms.get_mut(&peer(vm, zones).address).expect("known VM");
        vm.reports.record(self.now, &mut vm.suspects, crash, true);
    }

    /// Lets an endpoint crash under a request of the VM with this number that shares
    /// [`POISON_SEGMENT`] with others.
    pub fn crash_under_segment(&mut self, vm: usize, zones: usize, number: u64) {
        let endpoint = format!("engine-{number}").parse().expect("valid id");
        let request = Fingerprint(1_000 + number);
        let run = SuspectRun { request, segments: vec![POISON_SEGMENT], answer_began: true };
        let crash = CrashReport { run, endpoint, number, keep_ms: CRASH_RETENTION_MS };
        let vm = self.vms.get_mut(&peer(vm, zones).address).expect("known VM");
        vm.reports.record(self.now, &mut vm.suspects, crash, true);
    }

    /// Returns the number of VMs that would still send requests with [`POISON_SEGMENT`].
    pub fn vms_accepting_segment(&self) -> usize {
        let accepts =
            |vm: &&Vm| vm.suspects.segments.refused_for_ms(self.now, &[POISON_SEGMENT]).is_none();
        self.vms.values().filter(accepts).count()
    }

    /// Returns the number of VMs that would still send the poison request.
    pub fn accepting_vms(&self) -> usize {
        let accepts = |vm: &&Vm| vm.suspects.requests.refused_for_ms(self.now, POISON).is_none();
        self.vms.values().filter(accepts).count()
    }
}
