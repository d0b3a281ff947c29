//! The thread that writes and syncs the log, so that a slow disk never holds up heartbeats.

use std::sync::mpsc as blocking;

use tokio::sync::mpsc;
use waxwing_quorum::{ready, units};

use crate::{disk, errors, store};

/// The report about one batch.
pub type WriteReport = Result<units::WriteSequence, errors::StoreError>;

/// A `WriterHandle` gives batches to the thread and takes its reports.
#[derive(Debug)]
pub struct WriterHandle {
    /// Batches to write.
    pub batches: blocking::Sender<ready::WriteBatch>,
    /// What became of them, in order.
    pub reports: mpsc::UnboundedReceiver<WriteReport>,
}

/// Starts the thread. It ends when the handle is dropped, and after the first failure.
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
