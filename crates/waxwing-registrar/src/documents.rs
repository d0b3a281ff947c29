//! The replicated state machine, which holds the deployment document with the highest version.

use bytes::Bytes;
use prost::Message;

/// A deployment document as log entries and snapshots store it. A document has at least one byte; a
/// record without a body stands for no document, whatever its version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredDocument {
    /// The version of the document.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document, byte for byte as the operator sent it.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// A replicated register for the document with the highest version. If two operators send different
/// content with the same version, the first one in log order wins.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DocumentRegister {
    current: Option<StoredDocument>,
}

impl DocumentRegister {
    /// Applies a committed command; returns whether it replaced the document. A command without a
    /// document changes nothing.
    ///
    /// # Errors
    /// Fails if the command can't be decoded.
    pub fn apply(&mut self, command: &[u8]) -> Result<bool, prost::DecodeError> {
        let Some(proposed) = decode_document(command)? else {
            return Ok(false);
        };
        let is_newer = Some(proposed.version) > self.version();
        if is_newer {
            self.current = Some(proposed);
        }
        Ok(is_newer)
    }

    /// Returns the document with the highest version; `None` if none was stored yet.
    #[must_use]
    pub const fn current(&self) -> Option<&StoredDocument> {
        self.current.as_ref()
    }

    /// Returns the highest version; `None` if no document was stored yet.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|document| document.version)
    }

    /// Encodes the register for a snapshot.
    #[must_use]
    pub fn to_snapshot(&self) -> Bytes {
        let document = self.current.as_ref();
        document
            .map(Message::encode_to_vec)
            .unwrap_or_default()
            .into()
    }

    /// Decodes the register from a snapshot.
    ///
    /// # Errors
    /// Fails if the bytes are malformed.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        Ok(Self {
            current: decode_document(bytes)?,
        })
    }
}

fn decode_document(bytes: &[u8]) -> Result<Option<StoredDocument>, prost::DecodeError> {
    let document = StoredDocument::decode(bytes)?;
    Ok(Some(document).filter(|document| !document.body.is_empty()))
}
