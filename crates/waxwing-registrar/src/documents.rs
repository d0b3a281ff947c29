//! The state machine of the log: the deployment document with the highest version.

use bytes::Bytes;
use prost::Message;

/// A `StoredDocument` is a document in the log and in snapshots.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredDocument {
    /// The version; zero where there is no document.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The document as it was sent.
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

/// A `DocumentRegister` holds the document with the highest version. Two operators may send
/// different content under one version; the first in the order of the log stays.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DocumentRegister {
    held: StoredDocument,
}

impl DocumentRegister {
    /// Applies a command of the log; returns whether it changed the document.
    ///
    /// # Errors
    /// Fails if the command can't be decoded.
    pub fn apply(&mut self, command: &[u8]) -> Result<bool, prost::DecodeError> {
        let proposed = StoredDocument::decode(command)?;
        let newer = proposed.version > self.held.version;
        if newer {
            self.held = proposed;
        }
        Ok(newer)
    }

    /// Returns the document in force.
    #[must_use]
    pub const fn held(&self) -> &StoredDocument {
        &self.held
    }

    /// Encodes the state.
    #[must_use]
    pub fn to_snapshot(&self) -> Bytes {
        self.held.encode_to_vec().into()
    }

    /// Decodes the state.
    ///
    /// # Errors
    /// Fails if the bytes are malformed.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        Ok(Self {
            held: StoredDocument::decode(bytes)?,
        })
    }
}
