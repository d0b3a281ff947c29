//! The format of snapshot files and of the identity file: a header with checksums, a protobuf
//! record and, in snapshots, the serialized state machine.

use bytes::Bytes;
use prost::Message;
use waxwing_quorum::{members, messages, ready};

use crate::errors;

/// The magic bytes of a snapshot or identity file; the last one is the format version.
const MAGIC: [u8; 4] = *b"WXS1";

const HEADER_BYTES: usize = 24;

/// The metadata of a snapshot file.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct SnapshotRecord {
    /// The last log index that the state includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the entry at that index.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The membership at that index.
    #[prost(message, optional, tag = "3")]
    pub members: Option<messages::MemberList>,
}

fn encode_file(record: &[u8], data: &[u8]) -> Vec<u8> {
    let mut file = Vec::with_capacity(HEADER_BYTES + record.len() + data.len());
    file.extend_from_slice(&MAGIC);
    let record_length = u32::try_from(record.len()).expect("a record is shorter than 4 GiB");
    file.extend_from_slice(&record_length.to_le_bytes());
    file.extend_from_slice(&(data.len() as u64).to_le_bytes());
    let checksum = crc32c::crc32c_append(crc32c::crc32c(record), data);
    file.extend_from_slice(&checksum.to_le_bytes());
    let checksum = crc32c::crc32c(&file);
    file.extend_from_slice(&checksum.to_le_bytes());
    file.extend_from_slice(record);
    file.extend_from_slice(data);
    file
}

fn decode_file(file: &Bytes) -> Result<(Bytes, Bytes), errors::CorruptReason> {
    let header = file.get(..HEADER_BYTES);
    let header = header.filter(|header| header.starts_with(&MAGIC));
    let header = header.ok_or(errors::CorruptReason::Truncated)?;
    let field = |offset: usize| {
        header[offset..offset + 4]
            .try_into()
            .map(u32::from_le_bytes)
    };
    let field = |offset| field(offset).map_err(|_| errors::CorruptReason::Truncated);
    if crc32c::crc32c(&header[..20]) != field(20)? {
        return Err(errors::CorruptReason::Checksum);
    }
    let record_length = field(4)? as usize;
    let data_length = u64::from(field(8)?) | u64::from(field(12)?) << 32;
    let data_start = HEADER_BYTES.saturating_add(record_length);
    let expected = (data_start as u64).saturating_add(data_length);
    if expected != file.len() as u64 {
        return Err(errors::CorruptReason::Truncated);
    }
    let body = file.slice(HEADER_BYTES..);
    if crc32c::crc32c(&body) != field(16)? {
        return Err(errors::CorruptReason::Checksum);
    }
    Ok((body.slice(..record_length), body.slice(record_length..)))
}

/// Encodes a snapshot file.
#[must_use]
pub fn encode(snapshot: &ready::Snapshot) -> Vec<u8> {
    let record = SnapshotRecord {
        index: snapshot.index,
        term: snapshot.term,
        members: Some(snapshot.members.to_message()),
    };
    encode_file(&record.encode_to_vec(), &snapshot.data)
}

/// Decodes a snapshot file. Allocations are bounded by the length of the file, whatever lengths
/// its header claims.
///
/// # Errors
/// Returns why the bytes are not a valid file.
pub fn decode(file: &Bytes) -> Result<ready::Snapshot, errors::CorruptReason> {
    let (record, data) = decode_file(file)?;
    let record = SnapshotRecord::decode(record)?;
    let members = record.members.unwrap_or_default();
    Ok(ready::Snapshot {
        index: record.index,
        term: record.term,
        members: members::Membership::from_message(&members)?,
        data,
    })
}

/// Encodes the identity file.
#[must_use]
pub fn encode_identity(identity: members::MemberIdentity) -> Vec<u8> {
    encode_file(
        &messages::IdentityRecord::from(identity).encode_to_vec(),
        &[],
    )
}

/// Decodes the identity file.
///
/// # Errors
/// Returns why the bytes are not a valid file.
pub fn decode_identity(file: &Bytes) -> Result<members::MemberIdentity, errors::CorruptReason> {
    let (record, _) = decode_file(file)?;
    let record = messages::IdentityRecord::decode(record)?;
    Ok(members::MemberIdentity::try_from(&record)?)
}
