//! Digests by which processes compare what they know of the endpoints without sending it.
//!
//! A control host that sends all notices to each entry that opens a link fills the link of the entry
//! for seconds once there are thousands of endpoints, and with it the requests that use the same
//! link. So a process tells a digest for each group of endpoints, and only the groups that differ
//! are sent. `docs/design/directory.md` has the figures.

use std::fmt;

use waxwing_wire::messages;
use xxhash_rust::xxh3;

/// Number of groups into which endpoints are divided by their ids. With 3,400 endpoints a group has
/// 53 notices, which take some 3 KB; the digests of all groups take 512 bytes.
pub const GROUPS: u32 = 64;

/// Digest of what a notice says of its endpoint, without the count and the age of the notice. It also
/// tells the group of the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct NoticeDigest(u64);

impl NoticeDigest {
    /// Returns the digest of a notice.
    #[must_use]
    pub fn of(notice: &messages::EndpointNotice) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        let texts = [
            &notice.id,
            &notice.service,
            &notice.address,
            &notice.data_centre,
            &notice.version,
        ];
        for text in texts {
            // The length keeps neighbouring texts apart.
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&notice.slots.to_le_bytes());
        hasher.update(&notice.phase.to_le_bytes());
        hasher.update(&notice.born.unwrap_or_default().to_le_bytes());
        if notice.born == Some(0) {
            // Earlier versions have the same digests for all other start times.
            hasher.update(&[1]);
        }
        let groups = u64::from(GROUPS);
        let group = u64::from(group_of(&notice.id));
        Self(hasher.digest() / groups * groups + group)
    }

    /// Returns the digest that a message holds.
    #[must_use]
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the digest as it is sent in messages.
    #[must_use]
    pub const fn to_bits(self) -> u64 {
        self.0
    }

    /// Returns the group of the endpoint.
    #[must_use]
    pub const fn group(self) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the remainder is below the number of groups"
        )]
        let group = (self.0 % GROUPS as u64) as u32;
        group
    }
}

impl fmt::Display for NoticeDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Returns the group of an endpoint.
#[must_use]
pub fn group_of(id: &str) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the remainder is below the number of groups"
    )]
    let group = (xxh3::xxh3_64(id.as_bytes()) % u64::from(GROUPS)) as u32;
    group
}

/// The notices that a process knows, as one digest for each group. Two processes with the same
/// notices have the same summary, in whatever order they learned of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectorySummary(Vec<u64>);

impl Default for DirectorySummary {
    fn default() -> Self {
        Self(vec![0; GROUPS as usize])
    }
}

impl DirectorySummary {
    /// Returns the summary that a message holds, if it has a digest for each group.
    #[must_use]
    pub fn from_message(message: messages::DirectorySummary) -> Option<Self> {
        (message.digests.len() == GROUPS as usize).then_some(Self(message.digests))
    }

    /// Returns the summary as a message.
    #[must_use]
    pub fn to_message(&self) -> messages::DirectorySummary {
        messages::DirectorySummary {
            digests: self.0.clone(),
        }
    }

    /// Adds a notice, or removes it if it was added before.
    pub fn toggle(&mut self, digest: NoticeDigest) {
        if let Some(group) = self.0.get_mut(digest.group() as usize) {
            *group ^= digest.to_bits();
        }
    }

    /// Tells whether a group holds the same notices in another summary.
    #[must_use]
    pub fn agrees(&self, other: &Self, group: u32) -> bool {
        let group = group as usize;
        self.0.get(group) == other.0.get(group)
    }
}
