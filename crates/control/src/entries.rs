//! Accepts connections from the entry process of this VM. Converts messages from that process to
//! events for the node, and actions of the node to messages to that process.

use crate::peers::ACCEPT_RETRY_DELAY_MS;
use crate::process::Input;
use flume::{Receiver, Sender};
use gypsumchute_decide::{
    Action, AdmitRequest, ApiKey, Event, FinishedRequest, RequestKey, RequestKind, RetryRequest,
    StoredAnswer,
};
use gypsumchute_proto::local::{
    self, Admit, Granted, Refused, Replay, Stop, ToControl, ToEntry, to_control, to_entry,
};
use gypsumchute_proto::{FrameReader, FrameWriter, Message};
use gypsumchute_serving::connections::{ConnectionSlot, Connections};
use gypsumchute_serving::deadline::DeadlineStream;
use gypsumchute_units::Verdict;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Maximum number of messages queued for an entry process that reads slowly. When the queue is
/// full, the connection is given up and closed.
const MAX_QUEUED_MESSAGES: usize = 8_192;

/// Maximum number of connections. A VM has one entry process; a second one is connected while the
/// first one is replaced.
const MAX_ENTRY_CONNECTIONS: usize = 16;
/// Maximum time until an entry process has sent its first message, in milliseconds. It sends the
/// message as soon as it is connected.
const HELLO_TIMEOUT_MS: u64 = 5_000;
/// Maximum size of a message, in bytes. It holds the headers of a request, of which a head has at
/// most 64 KB, or a stored response of at most 8 KB.
const MAX_ENTRY_FRAME_BYTES: usize = 256 << 10;
/// Number of inputs of the decision thread beyond which no more messages are read, until it has
/// handled some. It exceeds the number of messages that an entry process sends in one tick.
const MAX_QUEUED_INPUTS: usize = 512;
/// Memory of the messages that wait for the decision thread, in bytes. Ordinary messages have about
/// 1 KB, so that [`MAX_QUEUED_INPUTS`] of them need an eighth of it.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Interval between two checks of the number of inputs, in milliseconds.
const QUEUE_POLL_MS: u64 = 1;
/// Maximum time without progress while sending to an entry process, in milliseconds. An entry
/// process reads at all times; one that does not for this long is stuck.
const WRITE_TIMEOUT_MS: u64 = 5_000;

/// Starts a thread that accepts connections from entry processes until the control process exits.
/// Connections are numbered from 1.
pub fn accept_connections(listener: TcpListener, inputs: Sender<Input>) {
    let connections = Connections::new(MAX_ENTRY_CONNECTIONS, false);
    thread::spawn(move || {
        let mut number = 0;
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                thread::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS));
                continue;
            };
            let Some(slot) = connections.admit(stream) else { continue };
            number += 1;
            let inputs = inputs.clone();
            let serve = move || serve_connection(number, &slot, &inputs);
            if let Err(err) = thread::Builder::new().spawn(serve) {
                log::error!(error:% = err; "failed to start a thread for an entry process");
            }
        }
    });
}

/// Reads messages from the connection with number `entry` until the connection is closed, and
/// passes them to the decision thread as events.
fn serve_connection(entry: u64, slot: &ConnectionSlot, inputs: &Sender<Input>) {
    let stream = slot.stream();
    let _ = stream.set_nodelay(true);
    let first_read = DeadlineStream::new(&stream, Duration::from_millis(HELLO_TIMEOUT_MS));
    let mut reader = FrameReader::with_max_frame(first_read, MAX_ENTRY_FRAME_BYTES);
    let Ok(first) = reader.read_message::<ToControl>() else { return };
    reader.stream_mut().remove_deadline();
    // From here on, the connection is never closed in favor of a new one.
    slot.set_busy(true);
    let write_timeout = Some(Duration::from_millis(WRITE_TIMEOUT_MS));
    if stream.set_write_timeout(write_timeout).is_err() {
        return;
    }
    let (sender, queue) = flume::bounded(MAX_QUEUED_MESSAGES);
    if inputs.send(Input::EntryConnected(entry, sender)).is_err() {
        return;
    }
    let write_half = slot.stream();
    let writer = thread::spawn(move || write_messages(&write_half, &queue));
    let mut message = Some(first);
    while let Some(received) = message {
        let message_bytes = received.encoded_len();
        if let Some(event) = received.body.and_then(|body| message_to_event(entry, body)) {
            wait_for_queue(inputs, message_bytes);
            let _ = inputs.send(Input::Event(event));
        }
        message = reader.read_message::<ToControl>().ok();
    }
    let _ = inputs.send(Input::EntryDisconnected(entry));
    let _ = stream.shutdown(Shutdown::Both);
    let _ = writer.join();
}

/// Waits until the decision thread has few inputs left to handle. The larger the message, the fewer.
fn wait_for_queue(inputs: &Sender<Input>, message_bytes: usize) {
    let max_queued = (MAX_QUEUED_BYTES / message_bytes.max(1)).min(MAX_QUEUED_INPUTS);
    while inputs.len() > max_queued && !inputs.is_disconnected() {
        thread::sleep(Duration::from_millis(QUEUE_POLL_MS));
    }
}

/// Writes queued messages to the connection until the queue is closed or a write fails, then closes
/// the connection.
fn write_messages(stream: &TcpStream, queue: &Receiver<ToEntry>) {
    let mut writer = FrameWriter::new(stream);
    while let Ok(message) = queue.recv() {
        if writer.write_message(&message).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
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
