//! Fetches store changes that this VM missed from a peer over TCP, and serves the same requests of
//! peers.
//!
//! Replies are compressed: the published data is repetitive text, and when a whole fleet starts,
//! the few VMs that have the data first send it to all others over links of 10 Mbit/s.

use crate::caller_limits::ClosedFor;
use crate::context::Context;
use crate::forwarding::ForwardedRequest;
use crate::store_updates::{UpdateSource, apply_changes, apply_snapshot};
use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use futures_util::{SinkExt, StreamExt};
use gypsumchute_exchange::{TcpTimeouts, set_tcp_timeouts};
use gypsumchute_fleet::messages::{self, Item, LastEntry, PullReply, PullRequest};
use gypsumchute_fleet::{CopyProgress, PeerAddress, StoreItem, StorePosition, WriterOrder};
use gypsumchute_platform::items::writer_order;
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
/// Maximum size of a request of a peer, in bytes. Requests for changes and offers hold a few ids and
/// numbers.
const MAX_REQUEST_BYTES: usize = 16 << 10;
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
pub(crate) type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Fetches changes from peers that are ahead of this VM. Runs until the process exits.
pub async fn pull_changes(context: Rc<Context>) {
    loop {
        sleep(Duration::from_millis(PULL_POLL_INTERVAL_MS)).await;
        let now = boot_now();
        let (progress, ahead) = context.with(|state| {
            let progress = state.store_copy.progress();
            (progress, state.members.peer_ahead_of(now, progress, &mut state.rng))
        });
        let Some(peer) = ahead else { continue };
        match timeout(Duration::from_millis(PULL_TIMEOUT_MS), pull(&peer, progress)).await {
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
    let position = StorePosition { era: reply.era, revision: reply.revision };
    info!(vm = peer.vm.as_str(), position:% = position, whole = reply.whole,
        items = reply.items.len(); "changes fetched from peer VM");
    let items = reply.items.into_iter().map(decode_item).collect();
    context.with(|state| {
        if state.members.reads_platform(&peer.vm) {
            state.store_confirmed_ms = Some(boot_now());
        }
    });
    match reply.whole {
        true => apply_snapshot(context, UpdateSource::Peer, position, items),
        false => apply_changes(context, UpdateSource::Peer, position, items),
    }
    context.with(|state| state.store_copy.record_merged(decode_position(reply.merged)));
}

/// Encodes an item of the store.
fn encode_item(item: StoreItem) -> Item {
    let last_entry = match (&item.value, item.writer_order) {
        (None, WriterOrder::Incarnation { started_wall_ms, sequence }) => {
            Some(LastEntry { started_wall_ms, sequence })
        }
        _ => None,
    };
    Item {
        key: item.key,
        revision: item.position.revision,
        value: item.value.map(|value| value.to_vec()),
        era: item.position.era,
        last_entry,
    }
}

/// Decodes an item of the store.
fn decode_item(item: Item) -> StoreItem {
    let writer_order = match item.last_entry {
        Some(LastEntry { started_wall_ms, sequence }) => {
            WriterOrder::Incarnation { started_wall_ms, sequence }
        }
        None => writer_order(&item.key, item.value.as_deref()),
    };
    StoreItem {
        key: item.key,
        position: StorePosition { era: item.era, revision: item.revision },
        value: item.value.map(Bytes::from),
        writer_order,
    }
}

/// Encodes a position in the history of the store; zero is left out.
pub fn encode_position(position: StorePosition) -> Option<messages::StorePosition> {
    let StorePosition { era, revision } = position;
    (revision > 0).then_some(messages::StorePosition { era, revision })
}

/// Decodes a position in the history of the store.
pub fn decode_position(position: Option<messages::StorePosition>) -> StorePosition {
    let messages::StorePosition { era, revision } = position.unwrap_or_default();
    StorePosition { era, revision }
}

/// Returns the codec for length-prefixed frames.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Reads one frame.
pub(crate) async fn read_frame(framed: &mut FramedStream) -> io::Result<Bytes> {
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
/// Returns an error if `frame` is not a valid reply, or one over the maximum size: without its last
/// items, a snapshot would tell that they were deleted.
pub fn decode_reply(frame: &[u8]) -> io::Result<PullReply> {
    let mut bytes = Vec::new();
    DeflateDecoder::new(frame).take(MAX_REPLY_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_REPLY_BYTES {
        return Err(io::Error::other("reply exceeds the maximum size"));
    }
    PullReply::decode(&bytes[..]).map_err(io::Error::other)
}

/// Requests the changes that a copy with `progress` lacks from a peer.
async fn pull(peer: &PeerAddress, progress: CopyProgress) -> io::Result<PullReply> {
    let stream = TcpStream::connect(SocketAddr::V4(peer.address)).await?;
    set_tcp_timeouts(&stream, TcpTimeouts::Short)?;
    let mut framed = Framed::new(stream, codec());
    let request = PullRequest {
        after_revision: progress.position.revision,
        after_era: progress.position.era,
        merged: encode_position(progress.merged),
        forward: None,
    };
    let request = request.encode_to_vec();
    framed.send(Bytes::from(request)).await?;
    decode_reply(&read_frame(&mut framed).await?)
}

/// Serves the changes that peers request and the requests that they forward. Runs until the process
/// exits.
pub async fn serve_peers(context: Rc<Context>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Some(slot) = context.limits.peer_slots.take(address.ip()) else {
                    context.limits.log_closed(ClosedFor::PeerConnections);
                    continue;
                };
                let context = context.clone();
                spawn_local(async move {
                    let limit = Duration::from_millis(SERVE_TIMEOUT_MS);
                    let served = timeout(limit, serve(&context, stream)).await;
                    // A request that was taken counts as one in progress instead.
                    drop(slot);
                    match served {
                        Ok(Ok(None)) => {}
                        Ok(Ok(Some(forwarded))) => forwarded.serve(context).await,
                        Ok(Err(err)) => info!(error:% = err; "failed to answer a peer VM"),
                        Err(_) => info!("timed out while answering a peer VM"),
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

/// Answers one request for changes, or the offer of a caller's request. Returns the latter if this VM
/// takes it.
async fn serve(context: &Context, stream: TcpStream) -> io::Result<Option<ForwardedRequest>> {
    set_tcp_timeouts(&stream, TcpTimeouts::Short)?;
    let mut request_codec = codec();
    request_codec.set_max_frame_length(MAX_REQUEST_BYTES);
    let mut framed = Framed::new(stream, request_codec);
    let request = read_frame(&mut framed).await?;
    framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    let request = PullRequest::decode(request).map_err(io::Error::other)?;
    if let Some(offer) = request.forward {
        return ForwardedRequest::accept(context, framed, offer).await;
    }
    let receiver = CopyProgress {
        position: StorePosition { era: request.after_era, revision: request.after_revision },
        merged: decode_position(request.merged),
    };
    let update = context.with(|state| state.store_copy.update_since(receiver));
    let reply = PullReply {
        revision: update.progress.position.revision,
        whole: update.is_snapshot,
        items: update.items.into_iter().map(encode_item).collect(),
        era: update.progress.position.era,
        merged: encode_position(update.progress.merged),
    };
    framed.send(encode_reply(&reply)?).await?;
    Ok(None)
}
