//! Reads and writes messages on blocking streams, as one length-delimited frame per message.
//!
//! The codec of `tokio-util` needs no asynchronous runtime and is used here with blocking reads and
//! writes.

use bytes::{Bytes, BytesMut};
use prost::Message;
use quick_error::quick_error;
use std::io::{self, Read, Write};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Maximum size of a frame, in bytes. One configuration value has at most 1 MB.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Maximum size of a datagram between control processes, in bytes.
pub const MAX_PEER_DATAGRAM_BYTES: usize = 60_000;
/// Maximum number of bytes that one read takes from a stream.
const READ_CHUNK_BYTES: usize = 16 << 10;

quick_error! {
    /// Error returned when a frame can't be read or written.
    #[derive(Debug)]
    pub enum FrameError {
        /// Reading from or writing to the stream failed, or a frame exceeds the maximum size.
        Io(err: io::Error) {
            from()
            display("I/O error on the stream: {}", err)
        }
        /// The frame does not contain a message of the expected type.
        Decode(err: prost::DecodeError) {
            from()
            display("the frame does not contain a valid message: {}", err)
        }
        /// The peer closed the stream.
        Closed {
            display("the peer closed the stream")
        }
    }
}

fn new_codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(max_frame_bytes).new_codec()
}

/// Reads messages from a stream.
pub struct FrameReader<R> {
    stream: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader of messages from `stream`.
    pub fn new(stream: R) -> Self {
        Self::with_max_frame(stream, MAX_FRAME_BYTES)
    }

    /// Creates a reader of messages from `stream` whose frames have at most `max_frame_bytes` bytes.
    pub fn with_max_frame(stream: R, max_frame_bytes: usize) -> Self {
        FrameReader { stream, codec: new_codec(max_frame_bytes), buffer: BytesMut::new() }
    }

    /// Returns the stream, for example to change its timeouts.
    pub fn stream_mut(&mut self) -> &mut R {
        &mut self.stream
    }

    /// Blocks until the next message arrives and returns it.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Closed`] at the end of the stream. After any other error, the stream
    /// is unusable.
    pub fn read_message<M: Message + Default>(&mut self) -> Result<M, FrameError> {
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
    /// Creates a writer of messages to `stream`.
    pub fn new(stream: W) -> Self {
        FrameWriter { stream, codec: new_codec(MAX_FRAME_BYTES) }
    }

    /// Writes one message and flushes the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the write fails or the message exceeds [`MAX_FRAME_BYTES`]. After an
    /// error, the stream is unusable.
    pub fn write_message<M: Message>(&mut self, message: &M) -> Result<(), FrameError> {
        let mut buffer = BytesMut::new();
        self.codec.encode(Bytes::from(message.encode_to_vec()), &mut buffer)?;
        self.stream.write_all(&buffer)?;
        self.stream.flush()?;
        Ok(())
    }
}
