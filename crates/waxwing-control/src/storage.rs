//! The thread that writes and syncs the log, so that a slow disk never holds up heartbeats.

use std::sync::mpsc as blocking;

use bytes::Bytes;
use tokio::sync::mpsc;
use waxwing_core::ids;
use waxwing_quorum::{members, ready, units};
use waxwing_store::{disk, errors::StoreError, store};

use crate::{machine, options};

/// The report about one batch.
pub(crate) type WriteReport = Result<units::WriteSequence, StoreError>;

/// A `StorageHandle` gives batches to the storage thread and takes its reports.
#[derive(Debug)]
pub(crate) struct StorageHandle {
    pub(crate) batches: blocking::Sender<ready::WriteBatch>,
    pub(crate) reports: mpsc::UnboundedReceiver<WriteReport>,
}

/// An `OpenedStorage` is what a data folder holds at the start.
#[derive(Debug)]
pub(crate) struct OpenedStorage {
    pub(crate) identity: members::MemberIdentity,
    pub(crate) recovered: ready::RecoveredState,
    pub(crate) handle: StorageHandle,
}

/// Opens a data folder and starts its thread, which ends when the handle is dropped. The founder
/// of a group writes the first snapshot into a fresh folder, if the probe allows it.
pub(crate) async fn open<D: disk::Disk>(
    disk: D,
    host: &options::ControlOptions,
    may_found: impl Future<Output = bool>,
) -> Result<OpenedStorage, StoreError>
where
    store::LogStore<D>: Send,
{
    let member = crate::log::member_id(host.name.as_str());
    let options = store::StoreOptions::default();
    let (mut store, mut recovered) =
        store::LogStore::open(disk, member, ids::StoreId::random(), options)?;
    let identity = store.identity();
    if store.is_fresh() && host.found && may_found.await {
        let voters = members::Membership::of_voters(&[identity]);
        let data = Bytes::from(machine::StateMachine::default().to_snapshot());
        recovered = store.found(ready::Snapshot::founding(voters, data))?;
    }
    let (batches, queue) = blocking::channel::<ready::WriteBatch>();
    let (reporter, reports) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || {
        while let Ok(batch) = queue.recv() {
            let report = store.write(&batch).map(|()| batch.sequence);
            let failed = report.is_err();
            if reporter.send(report).is_err() || failed {
                return;
            }
        }
    });
    Ok(OpenedStorage {
        identity,
        recovered,
        handle: StorageHandle { batches, reports },
    })
}
