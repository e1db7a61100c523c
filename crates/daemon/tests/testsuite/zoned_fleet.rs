//! VMs and endpoints in two zones, with links from each VM to the endpoints that a test can cut.

use crate::links::Links;
use crate::support::{API_KEY, Daemon, configured_store, register_endpoint};
use gypsumchute_config::ConfigSource;
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, SharedEndpointState, Store,
};
use std::time::Duration;

/// VMs and endpoints of the zones `a` and `b`: in each zone, two engines and two replicas of a plain
/// service.
pub struct ZonedFleet {
    pub state: SharedEndpointState,
    pub daemons: Vec<Daemon>,
    pub links: Vec<Links>,
    pub endpoints: Vec<Endpoint>,
    pub store: Store,
}

impl ZonedFleet {
    /// Starts a VM in each of `zones`, and waits until the VMs know each other.
    pub fn start(zones: &[&str]) -> Self {
        let (store, state) = (configured_store(), SharedEndpointState::default());
        let streams = Behaviour::Streams { events: 5, event_interval_ms: 10 };
        let mut endpoints = Vec::new();
        for zone in ["a", "b"] {
            for n in 1..=2 {
                let engine = Endpoint::start(&state, &format!("engine-{zone}-{n}"), streams);
                register_endpoint(&store, &engine, "engines", zone, "ready");
                let book =
                    Endpoint::start(&state, &format!("book-{zone}-{n}"), Behaviour::Succeeds);
                register_endpoint(&store, &book, "books", zone, "ready");
                endpoints.extend([engine, book]);
            }
        }
        let mut fleet = ZonedFleet { state, daemons: vec![], links: vec![], endpoints, store };
        zones.iter().for_each(|zone| fleet.add_daemon(zone));
        fleet.daemons.iter().for_each(|daemon| daemon.wait_ready(true));
        std::thread::sleep(Duration::from_millis(1_000));
        fleet
    }

    fn add_daemon(&mut self, zone: &str) {
        let links = Links::with_proxies();
        let source = ConfigSource::Store(self.store.address());
        let vm = format!("vm-{}", self.daemons.len() + 1);
        let seeds: Vec<_> = self.daemons.iter().map(|d| d.settings.peers_listen).collect();
        self.daemons.push(Daemon::start_behind(&links, source, &vm, zone, &seeds));
        self.links.push(links);
    }

    /// Sends the order `id` to the VM with this index.
    pub fn send_order(&self, vm: usize, id: &str) -> CompleteResponse {
        let request = CallerRequest::new("POST /orders/x", id, API_KEY);
        request.body(&format!("order {id}")).send_and_read(self.daemons[vm].address())
    }

    /// Returns how often an endpoint ran the request `id`.
    pub fn runs(&self, id: &str) -> usize {
        let received = self.state.received_requests();
        received.iter().filter(|r| r.executed && r.request_id() == id).count()
    }
}
