//! One role on a tokio runtime of its own. A kill drops the runtime with all its tasks and sockets at
//! once, which is the closest equivalent of `kill -9` within one process.

use std::{fmt::Display, future::Future};

use smol_str::SmolStr;
use tokio::{runtime, task};
use tokio_util::sync::CancellationToken;

use crate::errors::SoloError;

/// A tokio runtime that runs one role, such as an entry or an agent, in place of a process.
#[derive(Debug)]
pub struct RoleRuntime {
    name: SmolStr,
    runtime: Option<runtime::Runtime>,
    shutdown: CancellationToken,
    task: Option<task::JoinHandle<()>>,
}

impl RoleRuntime {
    /// Starts a runtime with a number of worker threads, on which nothing runs yet.
    ///
    /// # Errors
    /// Fails if the threads can't be started.
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

    /// Returns the name of the role.
    #[must_use]
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Opens the sockets of a role on the threads of the runtime.
    ///
    /// # Errors
    /// Fails with the error of the role, or if the runtime was killed.
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

    /// Runs a role until the runtime is stopped or killed; `run` gets the token that requests its
    /// shutdown.
    pub fn run<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        run: impl FnOnce(CancellationToken) -> F,
    ) {
        if let Some(runtime) = &self.runtime {
            self.task = Some(runtime.spawn(run(self.shutdown.clone())));
        }
    }

    /// Tells whether the runtime was stopped or killed.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        self.runtime.is_none()
    }

    /// Drops the role with all its tasks and sockets, without a graceful shutdown.
    pub fn kill(&mut self) {
        self.task = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Requests a graceful shutdown of the role without waiting for it.
    pub fn request_shutdown(&self) {
        self.shutdown.cancel();
    }

    /// Shuts the role down gracefully and waits for its end.
    pub async fn stop(&mut self) {
        self.shutdown.cancel();
        if let Some(task) = self.task.take() {
            // A role that panicked has already reported it, so its join error is ignored.
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
