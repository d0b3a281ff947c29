//! Frames: a four-byte length and one encoded envelope.

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec;

use crate::{errors, messages};

/// The longest frame in bytes; a longer one ends the link before anything is allocated for it.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Bytes of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// Returns the bytes that a frame takes on the wire, without those of TCP and TLS.
#[must_use]
pub fn wire_bytes(frame: usize) -> u64 {
    (frame + LENGTH_BYTES) as u64
}

/// Builds the codec for both directions of a link.
#[must_use]
pub fn codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .length_field_type::<u32>()
        .new_codec()
}

/// Encodes a message into the bytes of one frame.
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

/// Decodes the bytes of one frame.
///
/// # Errors
/// Fails if the bytes are not an envelope of a known body.
pub fn decode(frame: BytesMut) -> Result<messages::Envelope, errors::FrameError> {
    let envelope = messages::Envelope::decode(frame.freeze())?;
    if envelope.body.is_none() {
        return Err(errors::FrameError::Empty);
    }
    Ok(envelope)
}
