//! Callers that keep using a connection until the daemon closes it.

use super::{SharedState, api_key_of};
use gypsumchute_platform_standin::fixtures::generation_request;
use gypsumchute_platform_standin::{
    CRASHING_BODY, CallerRequest, CompleteResponse, KeptConnection,
};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Number of different poison requests.
const POISON_COUNT: u32 = 2;
/// Fraction of the requests that are poison.
const POISON_FRACTION: f64 = 0.08;

/// A caller's request and the response to it.
pub struct RequestRecord {
    pub id: String,
    pub route: &'static str,
    /// Index of the daemon.
    pub daemon: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// Body of a poison request.
    pub poison: Option<String>,
    /// `None` if no response headers arrived.
    pub response: Option<CompleteResponse>,
}

/// Sends random requests until the soak stops, and returns a record of each.
pub fn send_requests(shared: &SharedState, caller: u64) -> Vec<RequestRecord> {
    let mut rng = StdRng::seed_from_u64(shared.seed * 1_000 + caller);
    let mut records = Vec::new();
    let mut kept: Option<(usize, KeptConnection)> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(0..60)));
        let opened = kept.take().or_else(|| {
            let daemon = rng.random_range(0..shared.addresses.len());
            Some((daemon, KeptConnection::open(shared.addresses[daemon]).ok()?))
        });
        let Some((daemon, connection)) = opened else { continue };
        let id = format!("c{caller}-{}", records.len());
        let (route, poison, request) = random_request(shared, &mut rng, &id);
        let sent_at = Instant::now();
        let (response, connection) = match connection.send(&request) {
            Ok((response, connection)) => (Some(response), connection),
            Err(_) => (None, None),
        };
        kept = connection.map(|connection| (daemon, connection));
        let ended_at = Instant::now();
        let record = RequestRecord { id, route, daemon, sent_at, ended_at, poison, response };
        records.push(record);
    }
    records
}

/// Returns a request, with its route and, if it is poison, its body.
fn random_request(
    shared: &SharedState,
    rng: &mut StdRng,
    id: &str,
) -> (&'static str, Option<String>, CallerRequest) {
    // While version N rolls out, a daemon has version N or N-1 in force. Both versions accept the
    // key of N-1, and only version N accepts the key of N.
    let newest = shared.version.load(Ordering::Relaxed);
    let api_key = api_key_of((newest - rng.random_range(0..2)).max(1));
    let with_key =
        |request: CallerRequest| request.header("Authorization", &format!("Bearer {api_key}"));
    if rng.random_bool(POISON_FRACTION) {
        let body = format!("{CRASHING_BODY} {}", rng.random_range(0..POISON_COUNT));
        let request = CallerRequest::new("POST /reads/poison", id, "").body(&body);
        return ("reads", Some(body), with_key(request));
    }
    let route = *["orders", "reads", "surveys", "briefs"].choose(rng).expect("routes");
    let request = match route {
        "orders" => CallerRequest::new("POST /orders/new", id, "").body(id),
        "reads" => CallerRequest::new("GET /reads/x", id, ""),
        route => generation_request(route, id),
    };
    (route, None, with_key(request))
}
