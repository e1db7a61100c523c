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

/// Time that each request has from when it is sent.
const DEADLINE: Duration = Duration::from_secs(5);
/// Number of different poison requests.
const POISON_COUNT: u32 = 2;
/// Fraction of the requests that are poison.
const POISON_FRACTION: f64 = 0.08;

/// Fraction of the requests with a body that send it in chunks.
const CHUNKED_FRACTION: f64 = 0.5;

/// What a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Requests on all routes, and poison.
    Mixed,
    /// Mostly short generations, which have no backup if they may run again.
    Streams,
}

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
    /// Attempt that brought the first event of the stream that this attempt resumes.
    pub resumes: Option<String>,
    /// `None` if no response headers arrived.
    pub response: Option<CompleteResponse>,
}

impl RequestRecord {
    /// Reports whether the request is a stream that has begun.
    pub fn is_begun_stream(&self) -> bool {
        let is_stream = ["surveys", "briefs"].contains(&self.route);
        is_stream && self.response.as_ref().is_some_and(|response| response.status == 200)
    }

    /// Reports whether the response ended early, and before the deadline of the request.
    pub fn is_cut_early(&self) -> bool {
        let is_cut = self.response.as_ref().is_some_and(|response| !response.complete);
        is_cut && self.lasted() < DEADLINE
    }

    /// Returns the time from the request to the end of the response.
    pub fn lasted(&self) -> Duration {
        self.ended_at - self.sent_at
    }
}

/// Sends random requests until the soak stops, and returns a record of each.
pub fn send_requests(shared: &SharedState, caller: u64, load: Load) -> Vec<RequestRecord> {
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
        let broken_off = records.last().and_then(BrokenStream::of);
        let (route, poison, mut request) = match broken_off.is_some() {
            true => {
                ("briefs", None, keyed_request(shared, &mut rng, generation_request("briefs", &id)))
            }
            false => random_request(shared, &mut rng, &id, load),
        };
        if !request.body.is_empty() && rng.random_bool(CHUNKED_FRACTION) {
            request = request.chunked(rng.random_range(1..8));
        }
        let resumes = broken_off.map(|stream| {
            request = request.clone().header("Resumes", &stream.first_attempt);
            request = request.clone().header("Last-Event-Id", &stream.last_event.to_string());
            stream.first_attempt
        });
        let sent_at = Instant::now();
        let (response, connection) = match connection.send(&request) {
            Ok((response, connection)) => (Some(response), connection),
            Err(_) => (None, None),
        };
        kept = connection.map(|connection| (daemon, connection));
        let ended_at = Instant::now();
        records.push(RequestRecord {
            id,
            route,
            daemon,
            sent_at,
            ended_at,
            poison,
            resumes,
            response,
        });
    }
    records
}

/// A stream that broke off and that its caller resumes.
struct BrokenStream {
    /// Attempt that brought the first event.
    first_attempt: String,
    last_event: u64,
}

impl BrokenStream {
    /// Returns the stream of `record` if it broke off after an event and may be resumed.
    fn of(record: &RequestRecord) -> Option<Self> {
        let response = record.response.as_ref()?;
        let is_broken = record.route == "briefs" && response.status == 200 && !response.complete;
        let last_event = response.body.lines().rev().find_map(|line| line.strip_prefix("id: "))?;
        let first_attempt = record.resumes.clone().unwrap_or_else(|| record.id.clone());
        let last_event = last_event.parse().ok()?;
        is_broken.then_some(BrokenStream { first_attempt, last_event })
    }
}

/// Adds an API key that daemons accept.
fn keyed_request(shared: &SharedState, rng: &mut StdRng, request: CallerRequest) -> CallerRequest {
    // While version N rolls out, a daemon has version N or N-1 in force. Both versions accept the
    // key of N-1, and only version N accepts the key of N.
    let newest = shared.version.load(Ordering::Relaxed);
    let api_key = api_key_of((newest - rng.random_range(0..2)).max(1));
    request.header("Authorization", &format!("Bearer {api_key}"))
}

/// Returns a request, with its route and, if it is poison, its body.
fn random_request(
    shared: &SharedState,
    rng: &mut StdRng,
    id: &str,
    load: Load,
) -> (&'static str, Option<String>, CallerRequest) {
    if load == Load::Mixed && rng.random_bool(POISON_FRACTION) {
        let body = format!("{CRASHING_BODY} {}", rng.random_range(0..POISON_COUNT));
        let request = CallerRequest::new("POST /reads/poison", id, "").body(&body);
        return ("reads", Some(body), keyed_request(shared, rng, request));
    }
    let routes = match load {
        Load::Mixed => ["orders", "reads", "surveys", "briefs"],
        Load::Streams => ["orders", "surveys", "briefs", "briefs"],
    };
    let route = *routes.choose(rng).expect("routes");
    let request = match route {
        "orders" => CallerRequest::new("POST /orders/new", id, "").body(id),
        "reads" => CallerRequest::new("GET /reads/x", id, ""),
        route if load == Load::Streams => generation_request(route, id).output_tokens(100, 80),
        route => generation_request(route, id),
    };
    (route, None, keyed_request(shared, rng, request))
}
