//! What a VM missed of the platform's changes, fetched from another VM over TCP.
//!
//! Replies are compressed: what the platform publishes is text of one kind, and where a whole fleet
//! starts, the few VMs that know it first send it to all others over links of 10 Mbit/s.

use crate::context::Context;
use crate::store_updates::{UpdateSource, apply_changes, apply_snapshot};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_util::{SinkExt, StreamExt};
use gypsumchute_exchange::{Patience, bound_silence};
use gypsumchute_fleet::messages::{Item, PullReply, PullRequest};
use gypsumchute_fleet::{PeerAddress, StoreItem};
use gypsumchute_units::time::boot_now;
use log::{info, warn};
use prost::Message;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest frame over TCP, in bytes: a configuration of 1 MB and a registry of thousands.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Largest reply once it is unpacked, in bytes.
const MAX_REPLY_BYTES: u64 = 64 << 20;
/// Longest time to fetch changes from another VM, in ms: one that is asked by many takes longer than
/// asking another one.
const PULL_TIMEOUT_MS: u64 = 500;
/// Longest time to send changes to another VM, in ms.
const SERVE_TIMEOUT_MS: u64 = 1_000;
/// How often a VM looks whether another one knows more, in ms.
const PULL_POLL_INTERVAL_MS: u64 = 40;

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Fetches what other VMs know and this one missed, for as long as the process lives.
pub async fn pull_changes(context: Rc<Context>) {
    loop {
        sleep(Duration::from_millis(PULL_POLL_INTERVAL_MS)).await;
        let now = boot_now();
        let (revision, ahead) = context.with(|state| {
            let revision = state.store_copy.revision();
            (revision, state.members.ahead_of(now, revision, &mut state.rng))
        });
        let Some(peer) = ahead else { continue };
        match timeout(Duration::from_millis(PULL_TIMEOUT_MS), pull(&peer, revision)).await {
            Ok(Ok(reply)) => apply_reply(&context, &peer, reply),
            Ok(Err(err)) => {
                info!(vm = peer.vm.as_str(), error:% = err; "changes could not be fetched");
            }
            Err(_) => info!(vm = peer.vm.as_str(); "changes could not be fetched in time"),
        }
    }
}

fn apply_reply(context: &Rc<Context>, peer: &PeerAddress, reply: PullReply) {
    info!(vm = peer.vm.as_str(), revision = reply.revision, whole = reply.whole,
        items = reply.items.len(); "changes fetched from another VM");
    let items = reply.items.into_iter().map(|item| StoreItem {
        key: item.key,
        revision: item.revision,
        value: item.value.map(Bytes::from),
    });
    let items = items.collect();
    context.with(|state| {
        if state.members.reads_platform(&peer.vm) {
            state.store_confirmed_ms = Some(boot_now());
        }
    });
    match reply.whole {
        true => apply_snapshot(context, UpdateSource::Peer, reply.revision, items),
        false => apply_changes(context, UpdateSource::Peer, reply.revision, items),
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

async fn read_frame(framed: &mut FramedStream) -> io::Result<Bytes> {
    let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    Ok(frame.freeze())
}

/// A reply as it is sent.
///
/// # Errors
///
/// None that memory does not cause.
pub fn encode_reply(reply: &PullReply) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&reply.encode_to_vec())?;
    encoder.finish().map(Bytes::from)
}

/// A reply as it came.
///
/// # Errors
///
/// It is no packed reply, or a larger one than any VM sends.
pub fn decode_reply(frame: &[u8]) -> io::Result<PullReply> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(frame).take(MAX_REPLY_BYTES).read_to_end(&mut bytes)?;
    PullReply::decode(&bytes[..]).map_err(io::Error::other)
}

async fn pull(peer: &PeerAddress, after_revision: u64) -> io::Result<PullReply> {
    let stream = TcpStream::connect(SocketAddr::V4(peer.address)).await?;
    bound_silence(&stream, Patience::Short)?;
    let mut framed = Framed::new(stream, codec());
    let request = PullRequest { after_revision }.encode_to_vec();
    framed.send(Bytes::from(request)).await?;
    decode_reply(&read_frame(&mut framed).await?)
}

/// Answers other VMs that fetch changes, for as long as the process lives.
pub async fn serve_pulls(context: Rc<Context>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                spawn_local(async move {
                    let answered =
                        timeout(Duration::from_millis(SERVE_TIMEOUT_MS), serve(context, stream));
                    match answered.await {
                        Ok(Ok(())) => {}
                        Ok(Err(err)) => info!(error:% = err; "a VM could not fetch changes"),
                        Err(_) => info!("a VM fetched changes too slowly"),
                    }
                });
            }
            Err(err) => {
                warn!(error:% = err; "a VM's connection could not be accepted");
                sleep(Duration::from_millis(PULL_POLL_INTERVAL_MS)).await;
            }
        }
    }
}

async fn serve(context: Rc<Context>, stream: TcpStream) -> io::Result<()> {
    bound_silence(&stream, Patience::Short)?;
    let mut framed = Framed::new(stream, codec());
    let request = read_frame(&mut framed).await?;
    let request = PullRequest::decode(request).map_err(io::Error::other)?;
    let delta = context.with(|state| state.store_copy.delta(request.after_revision));
    let items = delta.items.into_iter().map(|item| Item {
        key: item.key,
        revision: item.revision,
        value: item.value.map(|value| value.to_vec()),
    });
    let reply = PullReply { revision: delta.revision, whole: delta.whole, items: items.collect() };
    framed.send(encode_reply(&reply)?).await
}
