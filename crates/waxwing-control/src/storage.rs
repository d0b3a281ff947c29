//! What a control host's data folder holds at the start.

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_quorum::{members, ready};
use waxwing_store::{disk, errors::StoreError, store, writer};

use crate::{machine, options};

/// An `OpenedStorage` is what a data folder holds at the start.
#[derive(Debug)]
pub(crate) struct OpenedStorage {
    pub(crate) identity: members::MemberIdentity,
    pub(crate) recovered: ready::RecoveredState,
    pub(crate) handle: writer::WriterHandle,
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
    Ok(OpenedStorage {
        identity,
        recovered,
        handle: writer::start(store),
    })
}
