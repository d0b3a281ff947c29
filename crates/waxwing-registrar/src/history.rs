//! The deployments that a control host can send to entries: the newest one, former ones as the base
//! of patches, and the patches themselves.

use std::collections::VecDeque;

use bytes::Bytes;
use waxwing_fleet::{errors, patches};
use waxwing_wire::messages;

use crate::documents;

/// Total size of the documents that are kept, in bytes. The newest one is kept in any case.
const KEPT_DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// Number of patches that are kept: entries that lag behind need patches from different versions.
const KEPT_PATCHES: usize = 16;

/// Size of a chunk in bytes; small enough that other messages on the link aren't held up for long.
const CHUNK_BYTES: usize = 64 * 1024;

/// A document that patches can build on or lead to.
#[derive(Debug, Clone)]
struct KeptDocument {
    version: u64,
    digest: u64,
    body: Bytes,
}

/// The patch between two documents.
#[derive(Debug)]
struct KeptPatch {
    /// The version that the patch builds on, with its digest; `None` for a whole document.
    base: Option<(u64, u64)>,
    version: u64,
    bytes: Bytes,
    digest: u64,
}

/// The recent deployments of a control host. It does no I/O.
#[derive(Debug, Default)]
pub struct DeploymentHistory {
    /// The documents, the newest one last.
    documents: VecDeque<KeptDocument>,
    patches: VecDeque<KeptPatch>,
}

impl DeploymentHistory {
    /// Adds a committed document if it is newer than the newest one.
    pub fn record(&mut self, document: &documents::StoredDocument) {
        if Some(document.version) <= self.newest_version() {
            return;
        }
        self.documents.push_back(KeptDocument {
            version: document.version,
            digest: patches::digest(&document.body),
            body: document.body.clone(),
        });
        while self.documents.len() > 1 && self.kept_bytes() > KEPT_DOCUMENT_BYTES {
            self.documents.pop_front();
        }
    }

    fn kept_bytes(&self) -> usize {
        self.documents.iter().map(|kept| kept.body.len()).sum()
    }

    fn newest_version(&self) -> Option<u64> {
        self.documents.back().map(|kept| kept.version)
    }

    /// Returns the announcement of the newest document.
    #[must_use]
    pub fn announcement(&self, confirmed: bool) -> messages::DeploymentVersion {
        messages::DeploymentVersion {
            version: self.newest_version(),
            confirmed,
        }
    }

    /// Returns the chunk that an entry asks for. `None` if this host doesn't hold the version or a
    /// newer one.
    ///
    /// # Errors
    /// Fails if the patch can't be created.
    pub fn chunk(
        &mut self,
        fetch: &messages::FetchDeployment,
    ) -> Result<Option<messages::DeploymentChunk>, errors::PatchError> {
        let wanted = |kept: &&KeptDocument| kept.version == fetch.version;
        let kept = self.documents.iter().find(wanted);
        let newest = self.documents.back();
        let newer = newest.filter(|kept| kept.version > fetch.version);
        let Some(target) = kept.or(newer).cloned() else {
            return Ok(None);
        };
        let base = self.documents.iter().find(|kept| {
            Some(kept.version) == fetch.base_version
                && kept.digest == fetch.base_digest
                && kept.version < target.version
        });
        let base = base.cloned();
        let patch = self.patch(base.as_ref(), &target)?;
        let resumes = patch.digest == fetch.patch_digest;
        let length = patch.bytes.len();
        let offset = usize::try_from(fetch.offset).unwrap_or(usize::MAX);
        let start = if resumes { offset.min(length) } else { 0 };
        let end = length.min(start + CHUNK_BYTES);
        Ok(Some(messages::DeploymentChunk {
            version: target.version,
            digest: target.digest,
            length: target.body.len() as u64,
            base_version: base.map(|base| base.version),
            patch_digest: patch.digest,
            patch_length: length as u64,
            offset: start as u64,
            data: patch.bytes.slice(start..end),
        }))
    }

    /// Returns the patch between two documents, which is created only once.
    fn patch(
        &mut self,
        base: Option<&KeptDocument>,
        target: &KeptDocument,
    ) -> Result<&KeptPatch, errors::PatchError> {
        let key = base.map(|base| (base.version, base.digest));
        let found = self
            .patches
            .iter()
            .position(|patch| patch.base == key && patch.version == target.version);
        let position = match found {
            Some(position) => position,
            None => {
                let base_body = base.map(|base| base.body.clone()).unwrap_or_default();
                let bytes = patches::create(&base_body, &target.body)?;
                if self.patches.len() == KEPT_PATCHES {
                    self.patches.pop_front();
                }
                self.patches.push_back(KeptPatch {
                    base: key,
                    version: target.version,
                    digest: patches::digest(&bytes),
                    bytes,
                });
                self.patches.len() - 1
            }
        };
        Ok(&self.patches[position])
    }
}
