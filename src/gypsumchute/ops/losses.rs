//! `losses`: counts requests that were not answered whole by cause, from the logs of daemons.

use crate::core::OpResult;
use crate::util::table::Table;
use std::collections::BTreeMap;
use std::io::BufRead;
use strum::{Display, EnumIter, IntoEnumIterator};

/// Why a request was not answered whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter)]
pub enum Cause {
    /// The log has no end of the request: its VM was killed, lost power or stands still.
    #[strum(to_string = "ended with its VM")]
    VmEnded,
    /// The engine had said that it leaves, and was gone before the run had moved.
    #[strum(to_string = "engine left before the run had moved")]
    EngineLeft,
    /// The endpoint was lost without a notice, or its answer was.
    #[strum(to_string = "endpoint or its answer lost")]
    EndpointLost,
    /// No endpoint had room in time.
    #[strum(to_string = "refused: no room")]
    NoRoom,
    /// No endpoint was in service or could be reached.
    #[strum(to_string = "refused: no endpoint")]
    NoEndpoint,
    /// Refused for another reason.
    #[strum(to_string = "refused: other reasons")]
    OtherRefusal,
    /// The time limit was over.
    #[strum(to_string = "time limit")]
    TimeLimit,
    /// The endpoint answered with an error of its own.
    #[strum(to_string = "the service's own error")]
    ServiceError,
    /// The caller closed the connection.
    #[strum(to_string = "caller left")]
    CallerLeft,
}

/// What the log says of one request.
#[derive(Debug, Default)]
struct RequestTrace {
    /// Engine memory that the request needs, in tokens.
    tokens: u64,
    /// Whether a run was lost because its engine was leaving.
    was_leaving: bool,
    /// Outcome and status of the final answer.
    end: Option<(String, u16)>,
}

impl RequestTrace {
    /// Returns why the request was not answered whole, or `None` if it was.
    fn cause(&self) -> Option<Cause> {
        let Some((outcome, status)) = &self.end else { return Some(Cause::VmEnded) };
        match (outcome.as_str(), status) {
            ("answered", _) => None,
            ("caller_left", _) => Some(Cause::CallerLeft),
            ("timed_out", _) | (_, 504) => Some(Cause::TimeLimit),
            ("endpoint_lost", _) if self.was_leaving => Some(Cause::EngineLeft),
            ("no_room", _) => Some(Cause::NoRoom),
            ("no_endpoint" | "no_reachable_endpoint", _) => Some(Cause::NoEndpoint),
            ("endpoint_error", _) | (_, 500) => Some(Cause::ServiceError),
            ("endpoint_lost" | "endpoint_protocol", _) | (_, 502) => Some(Cause::EndpointLost),
            _ => Some(Cause::OtherRefusal),
        }
    }
}

/// Requests and their tokens.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: u64,
    tokens: u64,
}

/// Reads the lines of daemons' logs, from any number of VMs in any order of VMs, and returns a table
/// of the requests that were not answered whole, by cause and with the tokens that they needed.
///
/// # Errors
///
/// Returns an error if the log can't be read.
pub fn losses(log: impl BufRead) -> OpResult<String> {
    let mut requests: BTreeMap<String, RequestTrace> = BTreeMap::new();
    for line in log.split(b'\n') {
        // A line that is cut in the middle of a character still counts.
        apply_line(&mut requests, &String::from_utf8_lossy(&line?));
    }
    Ok(format_losses(&requests))
}

/// Adds what one line says of its request.
fn apply_line(requests: &mut BTreeMap<String, RequestTrace>, line: &str) {
    let Some(id) = field(line, "request").filter(|id| *id != "-") else { return };
    let message = line.split_once("message=\"").and_then(|(_, rest)| rest.split_once('"'));
    let Some((message, _)) = message else { return };
    let known_only = message != "request placed" && message != "request ended";
    if known_only && !requests.contains_key(id) {
        return;
    }
    let trace = requests.entry(id.to_owned()).or_default();
    match message {
        "request placed" => {
            let tokens = field(line, "needs_tokens").and_then(|tokens| tokens.parse().ok());
            trace.tokens = trace.tokens.max(tokens.unwrap_or(0));
        }
        "run was lost or must move; recovery chosen" => {
            trace.was_leaving |= field(line, "loss") == Some("leaving");
        }
        "request ended" => {
            let status = field(line, "status").and_then(|status| status.parse().ok());
            let outcome = field(line, "outcome").unwrap_or_default().to_owned();
            trace.end = Some((outcome, status.unwrap_or(0)));
        }
        _ => {}
    }
}

/// Returns the value of `name` in a line of `key=value` pairs, if it is not quoted.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// Formats the table: a row a cause, then all requests.
fn format_losses(requests: &BTreeMap<String, RequestTrace>) -> String {
    let mut counts: BTreeMap<Cause, Count> = BTreeMap::new();
    let mut all = Count::default();
    for trace in requests.values() {
        all.requests += 1;
        all.tokens += trace.tokens;
        if let Some(cause) = trace.cause() {
            let count = counts.entry(cause).or_default();
            count.requests += 1;
            count.tokens += trace.tokens;
        }
    }
    let mut table = Table::new(["cause", "requests", "tokens", "of all tokens"]);
    let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
    for cause in Cause::iter() {
        if let Some(Count { requests, tokens }) = counts.get(&cause).copied() {
            table.add_row([
                cause.to_string(),
                requests.to_string(),
                tokens.to_string(),
                format!("{:.1}%", percent(tokens, all.tokens)),
            ]);
        }
    }
    table.add_row([
        "all requests".to_owned(),
        all.requests.to_string(),
        all.tokens.to_string(),
        String::new(),
    ]);
    table.to_text()
}
