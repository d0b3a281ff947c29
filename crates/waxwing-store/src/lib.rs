//! Durable state of one member of a replicated group in one data folder: identity, term and vote,
//! log and snapshots; `docs/design.md` section 6 gives its place in the system.
//!
//! | file | content |
//! |---|---|
//! | `lock` | lock file, held by the process that uses the folder |
//! | `identity` | member id and store id, written once |
//! | `log-N` | segment N of the log: frames with length and CRC32C, one per synced record batch |
//! | `snapshot-I` | the state machine's state after the entry at index I |
//! | `*.tmp` | incomplete files of an interrupted write; deleted at open |

pub mod disk;
pub mod driving;
pub mod errors;
pub mod frames;
pub mod memory;
pub mod records;
mod replay;
pub mod snapshots;
pub mod store;
pub mod writer;
