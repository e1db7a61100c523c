//! The connection to the entry process of this VM.

use crate::process::Input;
use flume::{Receiver, Sender};
use gypsumchute_decide::{
    Action, AdmitRequest, CallerKey, Event, FinishedRequest, KeptAnswer, RequestKey, RequestKind,
    RetryRequest,
};
use gypsumchute_proto::local::{
    self, Admit, Granted, Refused, Replay, Stop, ToControl, ToEntry, to_control, to_entry,
};
use gypsumchute_proto::{FrameReader, FrameWriter};
use gypsumchute_units::Verdict;
use std::net::{TcpListener, TcpStream};
use std::thread;

/// Messages that wait for a slow entry process before its connection is given up.
const OUT_QUEUE: usize = 8_192;

/// Accepts entry processes until the process ends.
pub fn accept(listener: TcpListener, inputs: Sender<Input>) {
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let inputs = inputs.clone();
            thread::spawn(move || serve(number as u64 + 1, stream, &inputs));
        }
    });
}

fn serve(entry: u64, stream: TcpStream, inputs: &Sender<Input>) {
    let _ = stream.set_nodelay(true);
    let Ok(read_half) = stream.try_clone() else { return };
    let (out, queue) = flume::bounded(OUT_QUEUE);
    if inputs.send(Input::EntryConnected(entry, out)).is_err() {
        return;
    }
    thread::spawn(move || write(stream, &queue));
    let mut reader = FrameReader::new(read_half);
    while let Ok(message) = reader.next_message::<ToControl>() {
        if let Some(event) = message.body.and_then(|body| event_of(entry, body)) {
            let _ = inputs.send(Input::Event(event));
        }
    }
    let _ = inputs.send(Input::EntryDisconnected(entry));
}

fn write(stream: TcpStream, queue: &Receiver<ToEntry>) {
    let mut writer = FrameWriter::new(&stream);
    while let Ok(message) = queue.recv() {
        if writer.write_message(&message).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

fn event_of(entry: u64, body: to_control::Body) -> Option<Event> {
    let event = match body {
        to_control::Body::Admit(admit) => Event::Admit(admit_of(entry, admit)),
        to_control::Body::Adopt(adopt) => {
            let customer = adopt.customer.parse().ok()?;
            Event::Adopt(admit_of(entry, adopt.admit?), customer)
        }
        to_control::Body::Retry(retry) => Event::Retry(RetryRequest {
            key: RequestKey { entry, request: retry.request },
            crashed: retry.crashed,
            stopped: retry.stopped,
        }),
        to_control::Body::Finished(finished) => Event::Finished(finished_of(entry, finished)),
        _ => return None,
    };
    Some(event)
}

fn admit_of(entry: u64, admit: Admit) -> AdmitRequest {
    let kind = match admit.kind() {
        local::RequestKind::Generation => RequestKind::Generation,
        local::RequestKind::Application => RequestKind::Application,
        local::RequestKind::Resume => RequestKind::Resume,
    };
    AdmitRequest {
        key: RequestKey { entry, request: admit.request },
        caller_key: CallerKey(admit.key),
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

fn finished_of(entry: u64, finished: local::Finished) -> FinishedRequest {
    let answer = (finished.status != 0).then_some(KeptAnswer {
        status: finished.status,
        content_type: finished.content_type,
        body: finished.answer,
        whole: finished.whole_answer,
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

/// The message that carries an action to its entry process, with the entry's number.
pub fn message_of(action: &Action) -> Option<(u64, ToEntry)> {
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
