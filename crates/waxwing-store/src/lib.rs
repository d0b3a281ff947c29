//! Durable state of one replicated group in one data folder: identity, term and vote, log and
//! snapshots; `docs/design.md` section 6 gives its place in the system.
//!
//! | file | content |
//! |---|---|
//! | `lock` | held by the one process that uses the folder |
//! | `identity` | member id and store id, written once |
//! | `log-N` | segment N of the log: frames with length and CRC32C, one frame a write batch |
//! | `snapshot-I` | the state after the entry at index I |
//! | `*.tmp` | unfinished files; removed at open |

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
