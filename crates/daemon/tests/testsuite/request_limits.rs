//! Endpoints that name in their answers how many requests a second they take from all VMs together.

use crate::support::{API_KEY, Daemon, configuration, eventually, register_endpoint};
use gypsumchute_platform_standin::{
    Behaviour, CallerRequest, CompleteResponse, Endpoint, SharedEndpointState, Store,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the windows in which the requests to an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after an endpoint first named its limit from which the limit must be kept.
const GRACE: Duration = Duration::from_secs(3);
/// Number of VMs.
const VMS: usize = 5;

/// Returns the number of requests that an endpoint with this limit may get in a [`WINDOW`].
fn allowed_in_window(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// VMs of one zone and replicas of a plain service.
struct Fleet {
    endpoint_state: SharedEndpointState,
    books: Vec<Endpoint>,
    daemons: Vec<Daemon>,
    sent: AtomicUsize,
    _store: Store,
}

impl Fleet {
    fn start() -> Self {
        let (store, endpoint_state) = (Store::start(), SharedEndpointState::default());
        store.configure(&configuration(7, &[API_KEY]));
        let start = |n| Endpoint::start(&endpoint_state, &format!("book-{n}"), Behaviour::Succeeds);
        let books: Vec<_> = (0..4).map(start).collect();
        books.iter().for_each(|book| register_endpoint(&store, book, "books", "a", "ready"));
        let mut daemons: Vec<Daemon> = Vec::new();
        for n in 0..VMS {
            let seeds: Vec<_> = daemons.iter().take(1).map(|d| d.settings.peers_listen).collect();
            daemons.push(Daemon::start(store.address(), &format!("vm-{n}"), "a", &seeds));
        }
        daemons.iter().for_each(|daemon| daemon.wait_ready(true));
        // The VMs hear of each other.
        thread::sleep(Duration::from_secs(1));
        Fleet { endpoint_state, books, daemons, sent: AtomicUsize::default(), _store: store }
    }

    /// Sends one booking to the next VM.
    fn send(&self) -> CompleteResponse {
        let n = self.sent.fetch_add(1, Ordering::Relaxed);
        let request = CallerRequest::new("POST /orders/x", &format!("r{n}"), API_KEY);
        request.body(&format!("order {n}")).send_and_read(self.daemons[n % VMS].address())
    }

    /// Sends bookings for `duration`, from several callers at once. Returns the responses with the
    /// time that each took.
    fn send_for(&self, duration: Duration) -> Vec<(CompleteResponse, Duration)> {
        let started = Instant::now();
        let caller = || {
            let mut responses = Vec::new();
            while started.elapsed() < duration {
                let sent_at = Instant::now();
                responses.push((self.send(), sent_at.elapsed()));
                thread::sleep(Duration::from_millis(60));
            }
            responses
        };
        thread::scope(|scope| {
            let callers: Vec<_> = (0..4).map(|_| scope.spawn(caller)).collect();
            callers.into_iter().flat_map(|caller| caller.join().expect("responses")).collect()
        })
    }

    /// Returns when the requests that `endpoint` got since `start` arrived.
    fn arrivals(&self, endpoint: &Endpoint, start: Instant) -> Vec<Instant> {
        let received = self.endpoint_state.received_requests();
        let here = received.iter().filter(|r| r.endpoint == endpoint.id);
        here.map(|r| r.received_at).filter(|at| *at >= start).collect()
    }

    /// Returns the largest number of requests that `endpoint` got in a window since `start`.
    fn most_in_window(&self, endpoint: &Endpoint, start: Instant) -> usize {
        let arrivals = self.arrivals(endpoint, start);
        let from = |first: &Instant| {
            arrivals.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count()
        };
        arrivals.iter().map(from).max().unwrap_or(0)
    }
}

/// Returns the share of the responses with status 200.
fn served_share(responses: &[(CompleteResponse, Duration)]) -> f64 {
    let served = responses.iter().filter(|(response, _)| response.status == 200).count();
    served as f64 / responses.len() as f64
}

/// Guards against an endpoint in need that gets as many requests as before.
#[test]
fn an_endpoint_that_names_a_limit_gets_no_more_from_all_vms_together() {
    let fleet = Fleet::start();
    let limits = [(&fleet.books[0], 1.0), (&fleet.books[1], 1.8)];
    limits.iter().for_each(|(book, per_s)| book.set_request_limit(Some(*per_s)));
    let started = Instant::now();
    let responses = fleet.send_for(GRACE + Duration::from_secs(6));
    for (book, per_s) in limits {
        let most = fleet.most_in_window(book, started + GRACE);
        let allowed = allowed_in_window(per_s);
        assert!(most <= allowed, "{most} requests in 4 s at {per_s}/s, {allowed} allowed");
        assert!(most >= per_s as usize, "{most} requests in 4 s at {per_s}/s");
    }
    assert!(served_share(&responses) >= 0.99, "the other endpoints have room");
    // The limit ends with the next answers.
    limits.iter().for_each(|(book, _)| book.set_request_limit(None));
    fleet.send_for(GRACE);
    let ended = Instant::now();
    fleet.send_for(Duration::from_secs(2));
    for (book, _) in limits {
        let arrivals = fleet.arrivals(book, ended).len();
        assert!(arrivals > 20, "{arrivals} requests in 2 s after the end of the limit");
    }
}

/// Guards against requests that wait for an endpoint which cannot take them in time.
#[test]
fn what_limited_endpoints_cannot_serve_is_refused_at_once() {
    let fleet = Fleet::start();
    fleet.books.iter().for_each(|book| book.set_request_limit(Some(1.0)));
    let started = Instant::now();
    let responses = fleet.send_for(GRACE + Duration::from_secs(6));
    for book in &fleet.books {
        let most = fleet.most_in_window(book, started + GRACE);
        assert!(most <= allowed_in_window(1.0), "{most} requests in 4 s at 1/s");
    }
    let refused: Vec<_> = responses.iter().filter(|(reply, _)| reply.status == 503).collect();
    assert!(!refused.is_empty(), "all {} requests were served", responses.len());
    let slow = refused.iter().filter(|(_, elapsed)| *elapsed > Duration::from_millis(100)).count();
    assert!(slow * 20 <= refused.len(), "{slow} of {} refusals came late", refused.len());
    assert!(refused.iter().all(|(reply, _)| reply.headers.contains_key("retry-after")));
    assert!(refused.iter().all(|(reply, _)| reply.body.contains("not_run")));
    // What the endpoints take is used.
    let arrivals: usize =
        fleet.books.iter().map(|b| fleet.arrivals(b, started + GRACE).len()).sum();
    assert!(arrivals >= 12, "{arrivals} requests in 6 s at 4/s");
    eventually("a booking to be served", || fleet.send().status == 200);
}
