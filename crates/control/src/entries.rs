//! Accepts connections from the entry process of this VM. Converts messages from that process to
//! events for the node, and actions of the node to messages to that process.

use crate::process::Input;
use flume::{Receiver, Sender};
use gypsumchute_decide::{
    Action, AdmitRequest, ApiKey, Event, FinishedRequest, RequestKey, RequestKind, RetryRequest,
    StoredAnswer,
};
use gypsumchute_proto::local::{
    self, Admit, Granted, Refused, Replay, Stop, ToControl, ToEntry, to_control, to_entry,
};
use gypsumchute_proto::{FrameReader, FrameWriter};
use gypsumchute_units::Verdict;
use std::net::{TcpListener, TcpStream};
use std::thread;

/// Maximum number of messages queued for an entry process that reads slowly. When the queue is
/// full, the connection is given up and closed.
const MAX_QUEUED_MESSAGES: usize = 8_192;

/// Starts a thread that accepts connections from entry processes until the control process exits.
/// Connections are numbered from 1.
pub fn accept_connections(listener: TcpListener, inputs: Sender<Input>) {
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let inputs = inputs.clone();
            thread::spawn(move || serve_connection(number as u64 + 1, stream, &inputs));
        }
    });
}

/// Reads messages from the connection with number `entry` until the connection is closed, and
/// passes them to the decision thread as events.
fn serve_connection(entry: u64, stream: TcpStream, inputs: &Sender<Input>) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let (sender, queue) = flume::bounded(MAX_QUEUED_MESSAGES);
    if inputs.send(Input::EntryConnected(entry, sender)).is_err() {
        return;
    }
    thread::spawn(move || write_messages(stream, &queue));
    let mut reader = FrameReader::new(read_half);
    while let Ok(message) = reader.read_message::<ToControl>() {
        if let Some(event) = message.body.and_then(|body| message_to_event(entry, body)) {
            let _ = inputs.send(Input::Event(event));
        }
    }
    let _ = inputs.send(Input::EntryDisconnected(entry));
}

/// Writes queued messages to the connection until the queue is closed or a write fails, then closes
/// the connection.
fn write_messages(stream: TcpStream, queue: &Receiver<ToEntry>) {
    let mut writer = FrameWriter::new(&stream);
    while let Ok(message) = queue.recv() {
        if writer.write_message(&message).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Converts a message from an entry process to an event. Returns `None` if the message is
/// incomplete or is not meant for the node.
fn message_to_event(entry: u64, body: to_control::Body) -> Option<Event> {
    let event = match body {
        to_control::Body::Admit(admit) => Event::Admit(admit_request(entry, admit)),
        to_control::Body::Adopt(adopt) => {
            let customer = adopt.customer.parse().ok()?;
            Event::Adopt(admit_request(entry, adopt.admit?), customer)
        }
        to_control::Body::Retry(retry) => Event::Retry(RetryRequest {
            key: RequestKey { entry, request: retry.request },
            crashed: retry.crashed,
            stopped: retry.stopped,
        }),
        to_control::Body::Finished(finished) => Event::Finished(finished_request(entry, finished)),
        _ => return None,
    };
    Some(event)
}

fn admit_request(entry: u64, admit: Admit) -> AdmitRequest {
    let kind = match admit.kind() {
        local::RequestKind::Generation => RequestKind::Generation,
        local::RequestKind::Application => RequestKind::Application,
        local::RequestKind::Resume => RequestKind::Resume,
    };
    AdmitRequest {
        key: RequestKey { entry, request: admit.request },
        api_key: ApiKey(admit.key),
        route: admit.route,
        kind,
        method: admit.method,
        prompt_tokens: admit.prompt_tokens,
        max_tokens: admit.max_tokens,
        fingerprint: admit.fingerprint,
        prefix_hash: admit.prefix_hash,
        idempotency_key: admit.idempotency_key,
        body_bytes: admit.body_bytes,
        endpoint: admit.endpoint,
    }
}

fn finished_request(entry: u64, finished: local::Finished) -> FinishedRequest {
    // Status 0 means that the message contains no answer to keep for an idempotency key.
    let answer = (finished.status != 0).then_some(StoredAnswer {
        status: finished.status,
        content_type: finished.content_type,
        body: finished.answer,
        is_complete: finished.whole_answer,
    });
    FinishedRequest {
        key: RequestKey { entry, request: finished.request },
        tokens: finished.tokens,
        stopped: finished.stopped,
        not_run: finished.not_run,
        crashed: finished.crashed,
        answer,
    }
}

/// Converts an action to a message to an entry process. Returns the number of the connection and
/// the message, or `None` if the action is not addressed to an entry process.
pub fn action_to_message(action: &Action) -> Option<(u64, ToEntry)> {
    let (entry, body) = match action {
        Action::Granted(grant) => {
            let granted = Granted {
                request: grant.key.request,
                customer: grant.customer.to_string(),
                endpoint: grant.endpoint.to_string(),
                address: grant.address.to_string(),
                use_until_ms: grant.use_until_ms.0,
                repeatable: grant.repeatable,
                answer_by_ms: grant.answer_by_ms.0,
                max_tokens: grant.max_tokens,
            };
            (grant.key.entry, to_entry::Body::Granted(granted))
        }
        Action::Refused(key, refusal) => {
            let refused = Refused {
                request: key.request,
                reason: refusal.reason.to_string(),
                may_have_run: refusal.verdict == Verdict::MayHaveRun,
                retry_after_ms: refusal.retry_after_ms.unwrap_or(0),
                has_retry_after: refusal.retry_after_ms.is_some(),
            };
            (key.entry, to_entry::Body::Refused(refused))
        }
        Action::Replay(key, answer) => {
            let replay = Replay {
                request: key.request,
                status: answer.status,
                content_type: answer.content_type.clone(),
                answer: answer.body.clone(),
            };
            (key.entry, to_entry::Body::Replay(replay))
        }
        Action::Stop(key, reason) => {
            let stop = Stop { request: key.request, reason: reason.to_string() };
            (key.entry, to_entry::Body::Stop(stop))
        }
        _ => return None,
    };
    Some((entry, ToEntry { body: Some(body) }))
}
