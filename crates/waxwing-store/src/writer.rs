//! A thread that writes and syncs the log, so that a slow disk never delays heartbeats.

use std::sync::mpsc as blocking;

use tokio::sync::mpsc;
use waxwing_quorum::{ready, units};

use crate::{disk, errors, store};

/// The outcome of one batch: the sequence number of the persisted batch, or why it failed.
pub type WriteReport = Result<units::WriteSequence, errors::StoreError>;

/// The channels to and from the writer thread.
#[derive(Debug)]
pub struct WriterHandle {
    /// Queues batches to write.
    pub batches: blocking::Sender<ready::WriteBatch>,
    /// Receives the reports, in the order of the batches.
    pub reports: mpsc::UnboundedReceiver<WriteReport>,
}

/// Starts the writer thread. It ends when the handle is dropped or after the first failed write.
pub fn start<D: disk::Disk>(mut store: store::LogStore<D>) -> WriterHandle
where
    store::LogStore<D>: Send,
{
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
    WriterHandle { batches, reports }
}
