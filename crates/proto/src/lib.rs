//! Messages between the system's own processes, and their framing.
//!
//! `fleet` holds what the daemons of different VMs say to each other.
//! `peer` holds what control processes of different VMs say to each other, a datagram a message.
//! `local` holds what the entry and the control process of one VM say over TCP. Both modules are
//! generated from `proto/*.proto`; `docs/DEVELOPING.md` tells how to regenerate them by hand, and
//! the build needs no generator.

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

pub use framing::{FrameError, FrameReader, FrameWriter, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
pub use prost::Message;
