//! One role on a tokio runtime of its own. A kill drops the runtime with all tasks and sockets at
//! once, which is the closest that one process comes to `kill -9` of another.

use std::{fmt::Display, future::Future};

use smol_str::SmolStr;
use tokio::{runtime, task};
use tokio_util::sync::CancellationToken;

use crate::errors::SoloError;

/// A `RoleRuntime` runs one role.
#[derive(Debug)]
pub struct RoleRuntime {
    name: SmolStr,
    runtime: Option<runtime::Runtime>,
    shutdown: CancellationToken,
    task: Option<task::JoinHandle<()>>,
}

impl RoleRuntime {
    /// Starts the threads of a runtime that runs nothing yet.
    ///
    /// # Errors
    /// Fails if the operating system gives no threads.
    pub fn new(name: impl Into<SmolStr>, threads: usize) -> Result<Self, SoloError> {
        let name = name.into();
        let built = runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name(name.as_str())
            .enable_all()
            .build();
        let runtime = built.map_err(|error| SoloError::Threads {
            name: name.clone(),
            error,
        })?;
        Ok(Self {
            name,
            runtime: Some(runtime),
            shutdown: CancellationToken::new(),
            task: None,
        })
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Opens the sockets of a role on the threads of the runtime.
    ///
    /// # Errors
    /// Fails with the error of the role.
    pub async fn bind<T, E>(
        &self,
        bind: impl Future<Output = Result<T, E>> + Send + 'static,
    ) -> Result<T, SoloError>
    where
        T: Send + 'static,
        E: Display + Send + 'static,
    {
        let failure = |detail: String| SoloError::Bind {
            name: self.name.clone(),
            detail,
        };
        let Some(runtime) = &self.runtime else {
            return Err(failure("the runtime was killed".to_owned()));
        };
        let bound = runtime.spawn(bind).await;
        let bound = bound.map_err(|error| failure(error.to_string()))?;
        bound.map_err(|error| failure(error.to_string()))
    }

    /// Runs a role until the runtime is stopped.
    pub fn run<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        run: impl FnOnce(CancellationToken) -> F,
    ) {
        if let Some(runtime) = &self.runtime {
            self.task = Some(runtime.spawn(run(self.shutdown.clone())));
        }
    }

    /// Tells whether the runtime was killed or stopped.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.runtime.is_none()
    }

    /// Ends the role without a graceful shutdown.
    pub fn kill(&mut self) {
        self.task = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Asks the role to shut down.
    pub fn ask_to_stop(&self) {
        self.shutdown.cancel();
    }

    /// Shuts the role down gracefully and waits for its end.
    pub async fn stop(&mut self) {
        self.shutdown.cancel();
        if let Some(task) = self.task.take() {
            // A role that panicked has already reported it; there is nothing left to wait for.
            let _ = task.await;
        }
        self.kill();
    }
}

impl Drop for RoleRuntime {
    fn drop(&mut self) {
        self.kill();
    }
}
