//! Protobuf messages between the processes of the fleet, and framing of messages on streams.
//!
//! - [`fleet`]: messages between the daemons of different VMs.
//! - [`peer`]: messages between the control processes of different VMs, one message per datagram.
//! - [`local`]: messages between the entry and the control process of one VM, over TCP.
//!
//! These modules are generated from `proto/*.proto` and checked in, so that the build needs no
//! generator. `docs/DEVELOPING.md` describes how to regenerate them.

#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod fleet;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod local;
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
pub mod peer;

mod framing;

pub use framing::{FrameError, FrameReader, FrameWriter, MAX_FRAME_BYTES, MAX_PEER_DATAGRAM_BYTES};
pub use prost::Message;
