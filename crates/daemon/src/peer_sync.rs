//! Fetches store changes that this VM missed from a peer over TCP, and serves the same requests of
//! peers.
//!
//! Replies are compressed: the published data is repetitive text, and when a whole fleet starts,
//! the few VMs that have the data first send it to all others over links of 10 Mbit/s.

use crate::context::Context;
use crate::store_updates::{UpdateSource, apply_changes, apply_snapshot};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_util::{SinkExt, StreamExt};
use gypsumchute_exchange::{TcpTimeouts, set_tcp_timeouts};
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

/// Maximum size of a TCP frame, in bytes: enough for a configuration of 1 MB and a registry of
/// thousands of entries.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// Maximum size of a reply after decompression, in bytes.
const MAX_REPLY_BYTES: u64 = 64 << 20;
/// Timeout for fetching changes from a peer, in milliseconds. If a peer takes longer because it
/// serves many requests at once, an attempt at another peer is faster.
const PULL_TIMEOUT_MS: u64 = 500;
/// Timeout for serving changes to a peer, in milliseconds.
const SERVE_TIMEOUT_MS: u64 = 1_000;
/// Interval between checks whether a peer has newer changes, in milliseconds. Also the delay after
/// a failed `accept`.
const PULL_POLL_INTERVAL_MS: u64 = 40;

/// A TCP connection that carries length-prefixed frames.
type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Fetches changes from peers that are ahead of this VM. Runs until the process exits.
pub async fn pull_changes(context: Rc<Context>) {
    loop {
        sleep(Duration::from_millis(PULL_POLL_INTERVAL_MS)).await;
        let now = boot_now();
        let (revision, ahead) = context.with(|state| {
            let revision = state.store_copy.revision();
            (revision, state.members.peer_ahead_of(now, revision, &mut state.rng))
        });
        let Some(peer) = ahead else { continue };
        match timeout(Duration::from_millis(PULL_TIMEOUT_MS), pull(&peer, revision)).await {
            Ok(Ok(reply)) => apply_reply(&context, &peer, reply),
            Ok(Err(err)) => {
                info!(vm = peer.vm.as_str(), error:% = err; "failed to fetch changes from peer VM");
            }
            Err(_) => info!(vm = peer.vm.as_str(); "timed out while fetching changes from peer VM"),
        }
    }
}

/// Applies the changes or the snapshot that a peer sent.
fn apply_reply(context: &Rc<Context>, peer: &PeerAddress, reply: PullReply) {
    info!(vm = peer.vm.as_str(), revision = reply.revision, whole = reply.whole,
        items = reply.items.len(); "changes fetched from peer VM");
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

/// Returns the codec for length-prefixed frames.
fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Reads one frame.
async fn read_frame(framed: &mut FramedStream) -> io::Result<Bytes> {
    let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    Ok(frame.freeze())
}

/// Encodes and compresses a reply.
///
/// # Errors
///
/// Returns an error only if the compressor fails, which does not happen when writing to memory.
pub fn encode_reply(reply: &PullReply) -> io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&reply.encode_to_vec())?;
    encoder.finish().map(Bytes::from)
}

/// Decompresses and decodes a reply.
///
/// # Errors
///
/// Returns an error if `frame` is not a valid reply. Data beyond the maximum size of a reply is cut
/// off before decoding.
pub fn decode_reply(frame: &[u8]) -> io::Result<PullReply> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(frame).take(MAX_REPLY_BYTES).read_to_end(&mut bytes)?;
    PullReply::decode(&bytes[..]).map_err(io::Error::other)
}

/// Requests the changes after `after_revision` from a peer.
async fn pull(peer: &PeerAddress, after_revision: u64) -> io::Result<PullReply> {
    let stream = TcpStream::connect(SocketAddr::V4(peer.address)).await?;
    set_tcp_timeouts(&stream, TcpTimeouts::Short)?;
    let mut framed = Framed::new(stream, codec());
    let request = PullRequest { after_revision }.encode_to_vec();
    framed.send(Bytes::from(request)).await?;
    decode_reply(&read_frame(&mut framed).await?)
}

/// Serves the changes that peers request. Runs until the process exits.
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
                        Ok(Err(err)) => info!(error:% = err; "failed to send changes to peer"),
                        Err(_) => info!("timed out while sending changes to peer"),
                    }
                });
            }
            Err(err) => {
                warn!(error:% = err; "failed to accept a connection from a peer VM");
                sleep(Duration::from_millis(PULL_POLL_INTERVAL_MS)).await;
            }
        }
    }
}

/// Answers one request for changes.
async fn serve(context: Rc<Context>, stream: TcpStream) -> io::Result<()> {
    set_tcp_timeouts(&stream, TcpTimeouts::Short)?;
    let mut framed = Framed::new(stream, codec());
    let request = read_frame(&mut framed).await?;
    let request = PullRequest::decode(request).map_err(io::Error::other)?;
    let delta = context.with(|state| state.store_copy.update_since(request.after_revision));
    let items = delta.items.into_iter().map(|item| Item {
        key: item.key,
        revision: item.revision,
        value: item.value.map(|value| value.to_vec()),
    });
    let reply =
        PullReply { revision: delta.revision, whole: delta.is_snapshot, items: items.collect() };
    framed.send(encode_reply(&reply)?).await
}
