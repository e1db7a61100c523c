//! Links between one VM and the endpoints, which a test can cut.

use gypsumchute_exchange::{Dial, Dialing};
use gypsumchute_standins::proxy::{Fault, Proxy};
use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::net::TcpStream;

/// How the links of a VM are cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes: new connections are not answered, and open ones hang.
    Silent,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, and open ones live on.
    RefusesNew,
    /// The task that opens a connection panics, and open connections live on.
    Panics,
}

/// The ways of cutting links.
pub const ALL_CUTS: [Cut; 3] = [Cut::Silent, Cut::Reset, Cut::RefusesNew];

#[derive(Default)]
struct LinkState {
    cut: Option<Cut>,
    /// Endpoints that the cut concerns; all if empty.
    affected: BTreeSet<SocketAddr>,
    /// Whether connections pass proxies, so that open ones can be cut.
    uses_proxies: bool,
    /// Proxy in front of each endpoint, by the endpoint's address.
    proxies: BTreeMap<SocketAddr, Proxy>,
}

impl LinkState {
    fn is_affected(&self, endpoint: &SocketAddr) -> bool {
        self.affected.is_empty() || self.affected.contains(endpoint)
    }
}

/// Links of one VM to all endpoints. By default they lead straight to the endpoints and are never cut.
#[derive(Clone, Default)]
pub struct Links(Arc<Mutex<LinkState>>);

impl Links {
    /// Returns links that can be cut. A connection to an endpoint that is gone is accepted and closed.
    pub fn with_proxies() -> Self {
        Links(Arc::new(Mutex::new(LinkState { uses_proxies: true, ..LinkState::default() })))
    }

    /// Cuts all links.
    pub fn cut(&self, cut: Cut) {
        self.cut_to([], cut);
    }

    /// Cuts the links to some endpoints, or to all if `endpoints` is empty.
    pub fn cut_to(&self, endpoints: impl IntoIterator<Item = SocketAddr>, cut: Cut) {
        let mut state = self.0.lock().expect("links mutex is poisoned");
        state.cut = Some(cut);
        state.affected = endpoints.into_iter().collect();
        let fault = match cut {
            Cut::Silent => Fault::Stall,
            Cut::Reset => Fault::CloseConnections,
            Cut::RefusesNew | Cut::Panics => Fault::NoFault,
        };
        let affected = state.proxies.iter().filter(|(endpoint, _)| state.is_affected(endpoint));
        affected.for_each(|(_, proxy)| proxy.set_fault(fault));
    }

    /// Restores all links. Bytes that were held back are delivered.
    pub fn restore(&self) {
        let mut state = self.0.lock().expect("links mutex is poisoned");
        state.cut = None;
        state.proxies.values().for_each(|proxy| proxy.set_fault(Fault::NoFault));
    }

    /// Returns the address at which the VM reaches `endpoint`.
    fn address_of(&self, endpoint: SocketAddr) -> SocketAddr {
        let mut state = self.0.lock().expect("links mutex is poisoned");
        if !state.uses_proxies {
            return endpoint;
        }
        let proxy = state.proxies.entry(endpoint).or_insert_with(|| start_proxy(endpoint));
        proxy.address()
    }
}

impl Dial for Links {
    fn dial(&self, address: SocketAddr) -> Dialing {
        let cut = {
            let state = self.0.lock().expect("links mutex is poisoned");
            state.cut.filter(|_| state.is_affected(&address))
        };
        match cut {
            None => Box::pin(TcpStream::connect(self.address_of(address))),
            Some(Cut::Silent) => Box::pin(pending()),
            Some(Cut::Panics) => Box::pin(async { panic!("the links of this test panic") }),
            Some(Cut::Reset | Cut::RefusesNew) => {
                Box::pin(async { Err(io::ErrorKind::ConnectionRefused.into()) })
            }
        }
    }
}

/// Starts a proxy on a port that is free for both TCP and UDP.
pub fn start_proxy(upstream: SocketAddr) -> Proxy {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut attempts = (0..100).filter_map(|_| Proxy::start(listen, upstream).ok());
    attempts.next().expect("a port that is free for TCP and UDP")
}
