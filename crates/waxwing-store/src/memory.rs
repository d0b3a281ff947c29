//! A disk in memory for tests, with the faults of real disks.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::disk;

/// A `DiskFaults` is the set of faults that are due on a [`MemoryDisk`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DiskFaults {
    /// Fails the sync after this many successful ones. What was not synced then is lost at a crash
    /// although it can be read until then, and no later sync of the same file saves it.
    pub failed_sync: Option<u64>,
    /// Takes this many more bytes and then fails every write as a full disk does.
    pub free_bytes: Option<u64>,
    /// Reports syncs as done without making anything durable. No real disk may do this; it shows
    /// that a checker notices lost entries.
    pub ignored_syncs: bool,
}

#[derive(Debug, Default)]
struct DiskInode {
    durable: Vec<u8>,
    current: Vec<u8>,
    /// Whether a sync has failed.
    broken: bool,
}

#[derive(Debug, Clone)]
enum NameChange {
    Set(String, u64),
    Unset(String),
    Move(String, String, u64),
}

#[derive(Debug, Default)]
struct DiskState {
    inodes: BTreeMap<u64, DiskInode>,
    next_inode: u64,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    pending: Vec<NameChange>,
    faults: DiskFaults,
    /// Counts the lives of the process; files and locks of a former life are dead.
    life: u64,
    locked: bool,
    syncs: u64,
    written: u64,
}

/// A `MemoryDisk` is a folder in memory; clones share it.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<DiskState>>,
}

/// A `MemoryFile` is an open file of a [`MemoryDisk`].
#[derive(Debug)]
pub struct MemoryFile {
    disk: MemoryDisk,
    inode: u64,
    life: u64,
}

/// A `MemoryLock` is the lock of a [`MemoryDisk`].
#[derive(Debug)]
pub struct MemoryLock {
    disk: MemoryDisk,
    life: u64,
}

fn missing(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, name)
}

fn apply(names: &mut BTreeMap<String, u64>, change: &NameChange) {
    match change {
        NameChange::Set(name, inode) => {
            names.insert(name.clone(), *inode);
        }
        NameChange::Unset(name) => {
            names.remove(name);
        }
        NameChange::Move(from, to, inode) => {
            names.remove(from);
            names.insert(to.clone(), *inode);
        }
    }
}

impl DiskState {
    fn change_name(&mut self, change: NameChange) {
        apply(&mut self.names, &change);
        self.pending.push(change);
    }

    /// Fails the sync that is due to fail and counts the others.
    fn next_sync(&mut self) -> io::Result<()> {
        self.syncs += 1;
        match &mut self.faults.failed_sync {
            Some(0) => {
                self.faults.failed_sync = None;
                Err(io::Error::other("sync failed"))
            }
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl DiskInode {
    /// Loses what was not synced, except for a random part of what was appended last.
    fn crash(&mut self, random: &mut rngs::StdRng) {
        let durable = self.durable.len();
        if self.current.starts_with(&self.durable) && !self.broken {
            let kept = random.random_range(durable..=self.current.len());
            self.current.truncate(kept);
            // The last block may have been allocated without its content.
            let garbage = random.random_range(0..=kept - durable);
            if random.random_bool(0.3) {
                self.current[kept - garbage..].fill(0);
            }
        } else {
            self.current.clone_from(&self.durable);
        }
        self.durable.clone_from(&self.current);
        self.broken = false;
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

    /// Replaces the faults that are due.
    pub fn set_faults(&self, faults: DiskFaults) {
        self.state().faults = faults;
    }

    /// Ends the life of the process: its files and its lock are dead, and all content stays.
    pub fn kill(&self) {
        let mut state = self.state();
        state.life += 1;
        state.locked = false;
    }

    /// Ends the life of the host: what was not synced is lost, wholly or in part as `seed` draws
    /// it. Faults that were due are over.
    pub fn crash(&self, seed: u64) {
        self.kill();
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let mut state = self.state();
        let mut names = state.durable_names.clone();
        for change in std::mem::take(&mut state.pending) {
            if random.random_bool(0.5) {
                apply(&mut names, &change);
            }
        }
        let live: Vec<u64> = names.values().copied().collect();
        state.inodes.retain(|inode, _| live.contains(inode));
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

    /// Loses everything, as a replaced disk does.
    pub fn wipe(&self) {
        let mut state = self.state();
        let life = state.life + 1;
        *state = DiskState {
            life,
            ..DiskState::default()
        };
    }

    /// Returns the number of syncs of files so far.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Returns the bytes that were written so far.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.state().written
    }

    /// Replaces the content of a file, as damage to synced bytes does.
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
        if state.life != self.life {
            return Err(io::Error::other("the process has ended"));
        }
        let free = state.faults.free_bytes.unwrap_or(u64::MAX);
        let taken = bytes.len().min(usize::try_from(free).unwrap_or(usize::MAX));
        if let Some(free) = &mut state.faults.free_bytes {
            *free -= taken as u64;
        }
        state.written += taken as u64;
        let inode = state.inodes.entry(self.inode).or_default();
        inode.current.extend_from_slice(&bytes[..taken]);
        if taken < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        if state.life != self.life {
            return Err(io::Error::other("the process has ended"));
        }
        let result = state.next_sync();
        let ignored = state.faults.ignored_syncs;
        let inode = state.inodes.entry(self.inode).or_default();
        if result.is_err() {
            inode.broken = true;
        } else if !inode.broken && !ignored {
            inode.durable.clone_from(&inode.current);
        }
        result
    }
}

impl Drop for MemoryLock {
    fn drop(&mut self) {
        let mut state = self.disk.state();
        if state.life == self.life {
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
            life: state.life,
        }))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let inode = state.names.get(name).ok_or_else(|| missing(name))?;
        let inode = state.inodes.get(inode).ok_or_else(|| missing(name))?;
        Ok(inode.current.clone())
    }

    fn create(&self, name: &str) -> io::Result<Self::File> {
        let mut state = self.state();
        let inode = state.next_inode;
        state.next_inode += 1;
        state.inodes.insert(inode, DiskInode::default());
        state.change_name(NameChange::Set(name.to_owned(), inode));
        Ok(MemoryFile {
            disk: self.clone(),
            inode,
            life: state.life,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        let inode = state.names.get(from).copied();
        let inode = inode.ok_or_else(|| missing(from))?;
        state.change_name(NameChange::Move(from.to_owned(), to.to_owned(), inode));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        if !state.names.contains_key(name) {
            return Err(missing(name));
        }
        state.change_name(NameChange::Unset(name.to_owned()));
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state();
        state.next_sync()?;
        if !state.faults.ignored_syncs {
            state.durable_names = state.names.clone();
            state.pending.clear();
        }
        Ok(())
    }
}
