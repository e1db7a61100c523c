//! Client of the load generator: sends single requests and measures the responses.

use crate::ops::bench::scenario::{Arrival, Operation};
use attohttpc::{Method, ProxySettings, RequestBuilder};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum time without data in a response.
const READ_TIMEOUT: Duration = Duration::from_secs(40);

/// Measured result of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Number of the customer that sent the request.
    pub customer: usize,
    /// Whether a single token bucket for the whole fleet would admit the request.
    pub within_rate: bool,
    /// Number of tokens received.
    pub tokens: u64,
    /// Time to the first token of a generation, or to the response of an availability check.
    pub time_to_first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Whether the response is complete.
    pub completed: bool,
    /// Reason for an incomplete response: an error code of the system, or a short description.
    pub failure: Option<String>,
    /// Whether the request was a generation.
    pub is_generation: bool,
}

impl Sample {
    /// Creates the sample of a request that has no response yet.
    fn new(arrival: &Arrival) -> Self {
        Sample {
            customer: arrival.customer,
            within_rate: arrival.within_rate,
            tokens: 0,
            time_to_first_token: None,
            token_gaps: Vec::new(),
            completed: false,
            failure: None,
            is_generation: arrival.operation != Operation::AvailabilityCheck,
        }
    }

    /// Creates the sample of a request that was not sent because the load generator had too many
    /// requests in flight.
    pub fn dropped_by_generator(arrival: &Arrival) -> Self {
        let failure = Some("generator_full".to_owned());
        Sample { failure, ..Sample::new(arrival) }
    }
}

/// Builds a request with timeouts. Proxy settings of the environment are ignored.
fn request(method: Method, address: SocketAddr, path: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(Duration::from_secs(3))
        .read_timeout(READ_TIMEOUT)
}

/// Sends a request to the entry process of a VM and waits for the response to end.
pub fn send_to_entry(address: SocketAddr, key: &str, arrival: &Arrival) -> Sample {
    let bearer = format!("Bearer {key}");
    let sent_at = Instant::now();
    match &arrival.operation {
        Operation::AvailabilityCheck => {
            let request = request(Method::GET, address, "/apps/bookings/availability");
            send_check(arrival, sent_at, request.header("Authorization", bearer))
        }
        Operation::Generation { route, prompt, max_tokens } => {
            let body = json!({
                "model": route, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
            });
            let request = request(Method::POST, address, "/v1/completions");
            let response = request.header("Authorization", bearer).text(body.to_string()).send();
            read_stream(arrival, sent_at, response, |line| {
                let data = line.strip_prefix("data: ")?;
                Some(if data == "[DONE]" { StreamLine::End } else { StreamLine::Token })
            })
        }
    }
}

/// Sends a generation directly to an engine and waits for the response to end. `id` makes the
/// generation id unique.
pub fn send_to_engine(address: SocketAddr, id: u64, arrival: &Arrival) -> Sample {
    let sent_at = Instant::now();
    let Operation::Generation { prompt, max_tokens, .. } = &arrival.operation else {
        return Sample::new(arrival);
    };
    let body = json!({
        "generation": format!("bench-{id}"), "prompt": prompt, "max_tokens": max_tokens,
    });
    let request = request(Method::POST, address, "/v1/generate").text(body.to_string());
    read_stream(arrival, sent_at, request.send(), |line| match line {
        line if line.contains("\"done\"") => Some(StreamLine::End),
        line if line.contains("\"index\"") => Some(StreamLine::Token),
        _ => None,
    })
}

/// Sends an availability check directly to a service.
pub fn send_to_service(address: SocketAddr, arrival: &Arrival) -> Sample {
    send_check(arrival, Instant::now(), request(Method::GET, address, "/availability"))
}

/// Line of a token stream that matters for the measurement.
enum StreamLine {
    /// One token.
    Token,
    /// Marker of a complete stream.
    End,
}

/// Returns the error code in the body of an error response, or else the HTTP status.
fn failure_reason(response: attohttpc::Response) -> String {
    let status = response.status().as_u16();
    let body: Value = response.json().unwrap_or_default();
    body["error"]["code"].as_str().map_or_else(|| format!("status {status}"), str::to_owned)
}

/// Sends an availability check and measures the time to the response.
fn send_check(arrival: &Arrival, sent_at: Instant, request: RequestBuilder) -> Sample {
    let mut sample = Sample::new(arrival);
    match request.send() {
        Ok(response) if response.is_success() => {
            sample.completed = response.bytes().is_ok();
            sample.time_to_first_token = Some(sent_at.elapsed());
        }
        Ok(response) => sample.failure = Some(failure_reason(response)),
        Err(_) => sample.failure = Some("no answer".to_owned()),
    }
    sample
}

/// Reads a token stream to the end and measures the arrival times of the tokens. `parse_line`
/// returns `None` for lines that are neither a token nor the end marker.
fn read_stream(
    arrival: &Arrival,
    sent_at: Instant,
    response: attohttpc::Result<attohttpc::Response>,
    parse_line: impl Fn(&str) -> Option<StreamLine>,
) -> Sample {
    let mut sample = Sample::new(arrival);
    let response = match response {
        Ok(response) if response.is_success() => response,
        Ok(response) => {
            sample.failure = Some(failure_reason(response));
            return sample;
        }
        Err(_) => {
            sample.failure = Some("no answer".to_owned());
            return sample;
        }
    };
    let mut last_token_at: Option<Instant> = None;
    for line in BufReader::new(response.split().2).lines().map_while(Result::ok) {
        match parse_line(&line) {
            Some(StreamLine::Token) => {
                let now = Instant::now();
                match last_token_at {
                    None => sample.time_to_first_token = Some(now - sent_at),
                    Some(last_token_at) => sample.token_gaps.push(now - last_token_at),
                }
                last_token_at = Some(now);
                sample.tokens += 1;
            }
            Some(StreamLine::End) => sample.completed = true,
            None => {}
        }
    }
    if !sample.completed {
        sample.failure = Some("cut".to_owned());
    }
    sample
}
