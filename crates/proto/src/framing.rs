//! Length-delimited frames of one message each, over any blocking stream.
//!
//! The codec is that of `tokio-util`; it needs no asynchronous runtime, so it runs here on plain
//! blocking reads and writes.

use bytes::{Bytes, BytesMut};
use prost::Message;
use quick_error::quick_error;
use std::io::{self, Read, Write};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Largest frame that is read or written, in bytes: a configuration value is at most 1 MB.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Largest datagram between control processes, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;
const READ_CHUNK_BYTES: usize = 16 << 10;

quick_error! {
    /// Why a frame could not be read or written.
    #[derive(Debug)]
    pub enum FrameError {
        /// The stream failed.
        Io(err: io::Error) {
            from()
            display("the stream failed: {}", err)
        }
        /// The frame is no message of the expected type.
        Decode(err: prost::DecodeError) {
            from()
            display("the frame is not a known message: {}", err)
        }
        /// The other side closed the stream.
        Closed {
            display("the other side closed the stream")
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Reads messages from a stream.
pub struct FrameReader<R> {
    stream: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: Read> FrameReader<R> {
    /// Reads from `stream`.
    pub fn new(stream: R) -> Self {
        FrameReader { stream, codec: codec(), buffer: BytesMut::new() }
    }

    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// [`FrameError::Closed`] at the end of the stream; any other error leaves it unusable.
    pub fn next_message<M: Message + Default>(&mut self) -> Result<M, FrameError> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.buffer)? {
                return Ok(M::decode(frame)?);
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            match self.stream.read(&mut chunk)? {
                0 => return Err(FrameError::Closed),
                count => self.buffer.extend_from_slice(&chunk[..count]),
            }
        }
    }
}

/// Writes messages to a stream.
pub struct FrameWriter<W> {
    stream: W,
    codec: LengthDelimitedCodec,
}

impl<W: Write> FrameWriter<W> {
    /// Writes to `stream`.
    pub fn new(stream: W) -> Self {
        FrameWriter { stream, codec: codec() }
    }

    /// Writes one message and flushes it.
    ///
    /// # Errors
    ///
    /// The stream's own; it is unusable after one.
    pub fn write_message<M: Message>(&mut self, message: &M) -> Result<(), FrameError> {
        let mut buffer = BytesMut::new();
        self.codec.encode(Bytes::from(message.encode_to_vec()), &mut buffer)?;
        self.stream.write_all(&buffer)?;
        self.stream.flush()?;
        Ok(())
    }
}
