//! An in-memory disk for tests that simulates crashes and the faults of real disks.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::disk;

/// Faults to inject into a [`MemoryDisk`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DiskFaults {
    /// Fails one sync after this many successful ones. The data that it should have synced can
    /// still be read, but no later sync of the same file makes it durable, so a crash loses it.
    pub failed_sync: Option<u64>,
    /// Free space in bytes. A write that exceeds it is cut short and fails as on a full disk.
    pub free_bytes: Option<u64>,
    /// Syncs report success without making anything durable. No correct disk does this; it tests
    /// that a checker detects lost entries.
    pub ignored_syncs: bool,
}

#[derive(Debug, Default)]
struct DiskInode {
    durable: Vec<u8>,
    current: Vec<u8>,
    sync_failed: bool,
}

#[derive(Debug, Clone)]
enum DirectoryChange {
    Link(String, u64),
    Unlink(String),
    Rename(String, String, u64),
}

#[derive(Debug, Default)]
struct DiskState {
    inodes: BTreeMap<u64, DiskInode>,
    next_inode: u64,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    /// Changes of `names` since the last sync of the folder.
    unsynced_changes: Vec<DirectoryChange>,
    faults: DiskFaults,
    /// Number of the current process; files of an earlier process fail, and its lock is released.
    incarnation: u64,
    locked: bool,
    syncs: u64,
    written: u64,
}

/// A data folder in memory; clones share its content.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<DiskState>>,
}

/// An open file of a [`MemoryDisk`].
#[derive(Debug)]
pub struct MemoryFile {
    disk: MemoryDisk,
    inode: u64,
    incarnation: u64,
}

/// The held lock of a [`MemoryDisk`].
#[derive(Debug)]
pub struct MemoryLock {
    disk: MemoryDisk,
    incarnation: u64,
}

fn not_found(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name)
}

fn apply(names: &mut BTreeMap<String, u64>, change: &DirectoryChange) {
    match change {
        DirectoryChange::Link(name, inode) => {
            names.insert(name.clone(), *inode);
        }
        DirectoryChange::Unlink(name) => {
            names.remove(name);
        }
        DirectoryChange::Rename(from, to, inode) => {
            names.remove(from);
            names.insert(to.clone(), *inode);
        }
    }
}

impl DiskState {
    fn change_directory(&mut self, change: DirectoryChange) {
        apply(&mut self.names, &change);
        self.unsynced_changes.push(change);
    }

    /// Counts a sync, and fails it if [`DiskFaults::failed_sync`] has run down to zero.
    fn count_sync(&mut self) -> io::Result<()> {
        self.syncs += 1;
        match &mut self.faults.failed_sync {
            Some(0) => {
                self.faults.failed_sync = None;
                Err(io::Error::other("sync failed"))
            }
            Some(remaining) => {
                *remaining -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl DiskInode {
    /// Drops the unsynced data, except for a random prefix of what was appended after the last
    /// sync.
    fn crash(&mut self, random: &mut rngs::StdRng) {
        let durable = self.durable.len();
        if self.current.starts_with(&self.durable) && !self.sync_failed {
            let kept = random.random_range(durable..=self.current.len());
            self.current.truncate(kept);
            // A file system may have allocated the last blocks without writing their content, so
            // the tail may read as zeros.
            let zeroed = random.random_range(0..=kept - durable);
            if random.random_bool(0.3) {
                self.current[kept - zeroed..].fill(0);
            }
        } else {
            self.current.clone_from(&self.durable);
        }
        self.durable.clone_from(&self.current);
        self.sync_failed = false;
    }
}

impl MemoryDisk {
    /// Creates an empty disk.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: DiskFaults) {
        self.state().faults = faults;
    }

    /// Simulates the end of the process: its open files fail, its lock is released, and all content
    /// stays readable.
    pub fn kill(&self) {
        let mut state = self.state();
        state.incarnation += 1;
        state.locked = false;
    }

    /// Simulates a power failure of the host: unsynced data is lost, wholly or in part as drawn
    /// from `seed`. Injected faults are cleared, except for `ignored_syncs`.
    pub fn crash(&self, seed: u64) {
        self.kill();
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let mut state = self.state();
        let mut names = state.durable_names.clone();
        for change in std::mem::take(&mut state.unsynced_changes) {
            if random.random_bool(0.5) {
                apply(&mut names, &change);
            }
        }
        let linked: Vec<u64> = names.values().copied().collect();
        state.inodes.retain(|inode, _| linked.contains(inode));
        for inode in state.inodes.values_mut() {
            inode.crash(&mut random);
        }
        state.names.clone_from(&names);
        state.durable_names = names;
        let ignored_syncs = state.faults.ignored_syncs;
        state.faults = DiskFaults {
            ignored_syncs,
            ..DiskFaults::default()
        };
    }

    /// Simulates the replacement of the disk: everything is lost.
    pub fn wipe(&self) {
        let mut state = self.state();
        let incarnation = state.incarnation + 1;
        *state = DiskState {
            incarnation,
            ..DiskState::default()
        };
    }

    /// Returns the number of attempted syncs of files and of the folder.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Returns the number of bytes appended to files.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.state().written
    }

    /// Replaces the durable content of a file, to simulate corruption of synced bytes. Does nothing
    /// if the file doesn't exist.
    pub fn overwrite(&self, name: &str, content: Vec<u8>) {
        let mut state = self.state();
        let Some(inode) = state.names.get(name).copied() else {
            return;
        };
        if let Some(inode) = state.inodes.get_mut(&inode) {
            inode.durable.clone_from(&content);
            inode.current = content;
        }
    }
}

impl disk::DiskFile for MemoryFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        if state.incarnation != self.incarnation {
            return Err(io::Error::other("the process has ended"));
        }
        let free = state.faults.free_bytes.unwrap_or(u64::MAX);
        let accepted = bytes.len().min(usize::try_from(free).unwrap_or(usize::MAX));
        if let Some(free) = &mut state.faults.free_bytes {
            *free -= accepted as u64;
        }
        state.written += accepted as u64;
        let inode = state.inodes.entry(self.inode).or_default();
        inode.current.extend_from_slice(&bytes[..accepted]);
        if accepted < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        if state.incarnation != self.incarnation {
            return Err(io::Error::other("the process has ended"));
        }
        let result = state.count_sync();
        let ignored = state.faults.ignored_syncs;
        let inode = state.inodes.entry(self.inode).or_default();
        if result.is_err() {
            inode.sync_failed = true;
        } else if !inode.sync_failed && !ignored {
            inode.durable.clone_from(&inode.current);
        }
        result
    }
}

impl Drop for MemoryLock {
    fn drop(&mut self) {
        let mut state = self.disk.state();
        if state.incarnation == self.incarnation {
            state.locked = false;
        }
    }
}

impl disk::Disk for MemoryDisk {
    type File = MemoryFile;
    type Lock = MemoryLock;

    fn lock(&self, _name: &str) -> io::Result<Option<Self::Lock>> {
        let mut state = self.state();
        if state.locked {
            return Ok(None);
        }
        state.locked = true;
        Ok(Some(MemoryLock {
            disk: self.clone(),
            incarnation: state.incarnation,
        }))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let inode = state.names.get(name).ok_or_else(|| not_found(name))?;
        let inode = state.inodes.get(inode).ok_or_else(|| not_found(name))?;
        Ok(inode.current.clone())
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        let mut state = self.state();
        let inode = state.next_inode;
        state.next_inode += 1;
        state.inodes.insert(inode, DiskInode::default());
        state.change_directory(DirectoryChange::Link(name.to_owned(), inode));
        Ok(MemoryFile {
            disk: self.clone(),
            inode,
            incarnation: state.incarnation,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        let inode = state.names.get(from).copied();
        let inode = inode.ok_or_else(|| not_found(from))?;
        state.change_directory(DirectoryChange::Rename(
            from.to_owned(),
            to.to_owned(),
            inode,
        ));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        if !state.names.contains_key(name) {
            return Err(not_found(name));
        }
        state.change_directory(DirectoryChange::Unlink(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state();
        state.count_sync()?;
        if !state.faults.ignored_syncs {
            state.durable_names = state.names.clone();
            state.unsynced_changes.clear();
        }
        Ok(())
    }
}
