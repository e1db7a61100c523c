//! One request as a caller sends it, and what became of it.

use crate::ops::bench::scenario::{Arrival, Ask};
use attohttpc::{Method, ProxySettings, RequestBuilder};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(40);

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Whose.
    pub customer: usize,
    /// Whether a single bucket for the whole fleet would admit it.
    pub in_rate: bool,
    /// Tokens that arrived.
    pub tokens: u64,
    /// Time to the first token, or to the answer of a check.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Whether the answer is whole.
    pub whole: bool,
    /// Why it is not, if it is not.
    pub refusal: Option<String>,
    /// Whether it was a generation.
    pub generation: bool,
}

impl Sample {
    fn new(arrival: &Arrival) -> Self {
        Sample {
            customer: arrival.customer,
            in_rate: arrival.in_rate,
            tokens: 0,
            first: None,
            gaps: Vec::new(),
            whole: false,
            refusal: None,
            generation: arrival.ask != Ask::Check,
        }
    }

    /// A request that the generator had no place for.
    pub fn lost(arrival: &Arrival) -> Self {
        let refusal = Some("generator_full".to_owned());
        Sample { refusal, ..Sample::new(arrival) }
    }
}

fn call(method: Method, address: SocketAddr, path: &str) -> RequestBuilder {
    RequestBuilder::new(method, format!("http://{address}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(Duration::from_secs(3))
        .read_timeout(TIMEOUT)
}

/// Sends a request through an entry VM.
pub fn through_entry(address: SocketAddr, key: &str, arrival: &Arrival) -> Sample {
    let bearer = format!("Bearer {key}");
    let sent = Instant::now();
    match &arrival.ask {
        Ask::Check => {
            let call = call(Method::GET, address, "/apps/bookings/availability");
            check(arrival, sent, call.header("Authorization", bearer))
        }
        Ask::Generation { route, prompt, max_tokens } => {
            let body = json!({
                "model": route, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
            });
            let call = call(Method::POST, address, "/v1/completions");
            let response = call.header("Authorization", bearer).text(body.to_string()).send();
            read(arrival, sent, response, |line| {
                let data = line.strip_prefix("data: ")?;
                Some(if data == "[DONE]" { Piece::End } else { Piece::Token })
            })
        }
    }
}

/// Sends a request straight to an engine.
pub fn to_engine(address: SocketAddr, id: u64, arrival: &Arrival) -> Sample {
    let sent = Instant::now();
    let Ask::Generation { prompt, max_tokens, .. } = &arrival.ask else {
        return Sample::new(arrival);
    };
    let body = json!({
        "generation": format!("bench-{id}"), "prompt": prompt, "max_tokens": max_tokens,
    });
    let call = call(Method::POST, address, "/v1/generate").text(body.to_string());
    read(arrival, sent, call.send(), |line| match line {
        line if line.contains("\"done\"") => Some(Piece::End),
        line if line.contains("\"index\"") => Some(Piece::Token),
        _ => None,
    })
}

/// Sends a check straight to a service.
pub fn to_service(address: SocketAddr, arrival: &Arrival) -> Sample {
    check(arrival, Instant::now(), call(Method::GET, address, "/availability"))
}

enum Piece {
    Token,
    End,
}

fn code_of(response: attohttpc::Response) -> String {
    let status = response.status().as_u16();
    let body: Value = response.json().unwrap_or_default();
    body["error"]["code"].as_str().map_or_else(|| format!("status {status}"), str::to_owned)
}

fn check(arrival: &Arrival, sent: Instant, call: RequestBuilder) -> Sample {
    let mut sample = Sample::new(arrival);
    match call.send() {
        Ok(response) if response.is_success() => {
            sample.whole = response.bytes().is_ok();
            sample.first = Some(sent.elapsed());
        }
        Ok(response) => sample.refusal = Some(code_of(response)),
        Err(_) => sample.refusal = Some("no answer".to_owned()),
    }
    sample
}

fn read(
    arrival: &Arrival,
    sent: Instant,
    response: attohttpc::Result<attohttpc::Response>,
    piece_of: impl Fn(&str) -> Option<Piece>,
) -> Sample {
    let mut sample = Sample::new(arrival);
    let response = match response {
        Ok(response) if response.is_success() => response,
        Ok(response) => {
            sample.refusal = Some(code_of(response));
            return sample;
        }
        Err(_) => {
            sample.refusal = Some("no answer".to_owned());
            return sample;
        }
    };
    let mut last: Option<Instant> = None;
    for line in BufReader::new(response.split().2).lines().map_while(Result::ok) {
        match piece_of(&line) {
            Some(Piece::Token) => {
                let now = Instant::now();
                match last {
                    None => sample.first = Some(now - sent),
                    Some(last) => sample.gaps.push(now - last),
                }
                last = Some(now);
                sample.tokens += 1;
            }
            Some(Piece::End) => sample.whole = true,
            None => {}
        }
    }
    if !sample.whole {
        sample.refusal = Some("cut".to_owned());
    }
    sample
}
