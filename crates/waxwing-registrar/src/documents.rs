//! The replicated state machine, which holds the deployment document with the highest version.

use bytes::Bytes;
use prost::Message;

/// A deployment document as log entries and snapshots store it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredDocument {
    /// The version of the document; 0 if there is none yet.
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
    current: StoredDocument,
}

impl DocumentRegister {
    /// Applies a committed command; returns whether it replaced the document.
    ///
    /// # Errors
    /// Fails if the command can't be decoded.
    pub fn apply(&mut self, command: &[u8]) -> Result<bool, prost::DecodeError> {
        let proposed = StoredDocument::decode(command)?;
        let is_newer = proposed.version > self.current.version;
        if is_newer {
            self.current = proposed;
        }
        Ok(is_newer)
    }

    /// Returns the document with the highest version.
    #[must_use]
    pub const fn current(&self) -> &StoredDocument {
        &self.current
    }

    /// Encodes the register for a snapshot.
    #[must_use]
    pub fn to_snapshot(&self) -> Bytes {
        self.current.encode_to_vec().into()
    }

    /// Decodes the register from a snapshot.
    ///
    /// # Errors
    /// Fails if the bytes are malformed.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        Ok(Self {
            current: StoredDocument::decode(bytes)?,
        })
    }
}
