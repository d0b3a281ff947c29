//! Opens the data folder of a control host and recovers its state.

use bytes::Bytes;
use waxwing_core::ids;
use waxwing_quorum::{members, ready};
use waxwing_store::{disk, errors::StoreError, store, writer};

use crate::{machine, options};

/// The recovered state of a data folder, and the handle to write to it.
#[derive(Debug)]
pub(crate) struct OpenedStorage {
    pub(crate) identity: members::MemberIdentity,
    pub(crate) recovered: ready::RecoveredState,
    pub(crate) handle: writer::WriterHandle,
}

/// Opens a data folder and starts its writer thread, which ends when the handle is dropped. If the
/// folder is empty and this host is the one that creates the group, `may_create_group` decides
/// whether it writes the initial snapshot.
pub(crate) async fn open<D: disk::Disk>(
    disk: D,
    host: &options::ControlOptions,
    may_create_group: impl Future<Output = bool>,
) -> Result<OpenedStorage, StoreError>
where
    store::LogStore<D>: Send,
{
    let member = crate::log::member_id(host.name.as_str());
    let options = store::StoreOptions::default();
    let (mut store, mut recovered) =
        store::LogStore::open(disk, member, ids::StoreId::random(), options)?;
    let identity = store.identity();
    if store.is_fresh() && host.found && may_create_group.await {
        let voters = members::Membership::from_voters(&[identity]);
        let data = Bytes::from(machine::StateMachine::default().to_snapshot());
        recovered = store.bootstrap(ready::Snapshot::founding(voters, data))?;
    }
    Ok(OpenedStorage {
        identity,
        recovered,
        handle: writer::start(store),
    })
}
