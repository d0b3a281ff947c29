//! Framing: each frame is a four-byte big-endian length and one encoded envelope.

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec;

use crate::{errors, messages};

/// Maximum length of an envelope in bytes. A longer frame ends the link before any memory is
/// allocated for it.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Size of the length prefix in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Returns the size of a frame with its length prefix, without the overhead of TCP and TLS.
#[must_use]
pub fn wire_bytes(envelope_bytes: usize) -> u64 {
    (envelope_bytes + LENGTH_PREFIX_BYTES) as u64
}

/// Returns the codec that splits the byte stream of a link into frames.
#[must_use]
pub fn codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .length_field_type::<u32>()
        .new_codec()
}

/// Encodes a message into an envelope; the codec adds the length prefix.
///
/// # Errors
/// Fails if the message is longer than [`MAX_FRAME_BYTES`].
pub fn encode(correlation: u64, body: messages::Body) -> Result<Bytes, errors::FrameError> {
    let envelope = messages::Envelope {
        version: messages::PROTOCOL_VERSION,
        correlation,
        body: Some(body),
    };
    let found = envelope.encoded_len();
    if found > MAX_FRAME_BYTES {
        return Err(errors::FrameError::TooLong {
            found,
            allowed: MAX_FRAME_BYTES,
        });
    }
    Ok(Bytes::from(envelope.encode_to_vec()))
}

/// Decodes the envelope of one frame.
///
/// # Errors
/// Fails if the bytes are not a valid envelope, or if its body is missing or of an unknown type.
pub fn decode(frame: BytesMut) -> Result<messages::Envelope, errors::FrameError> {
    let envelope = messages::Envelope::decode(frame.freeze())?;
    if envelope.body.is_none() {
        return Err(errors::FrameError::Empty);
    }
    Ok(envelope)
}
