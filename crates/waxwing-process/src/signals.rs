//! Signal handling: graceful shutdown on SIGTERM and SIGINT, reloading of TLS keys on SIGHUP.

use std::io;

use tokio::signal::unix;
use tokio_util::sync::CancellationToken;
use waxwing_wire::security;

/// Returns a token that is cancelled on SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the signal handlers can't be installed.
pub fn stop_token() -> io::Result<CancellationToken> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let token = CancellationToken::new();
    let stop = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!("graceful shutdown started");
        stop.cancel();
    });
    Ok(token)
}

/// Starts a task that reloads the TLS keys of links on each SIGHUP. If the new keys can't be used,
/// the old ones stay in use. Does nothing without key files.
///
/// # Errors
/// Fails if the signal handler can't be installed.
pub fn reload_keys(
    security: security::LinkSecurity,
    files: Option<security::TlsFiles>,
) -> io::Result<()> {
    let Some(files) = files else { return Ok(()) };
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match security.reload(&files) {
                Ok(()) => tracing::info!("TLS keys of links reloaded"),
                Err(error) => tracing::error!(%error, "failed to reload the TLS keys of links"),
            }
        }
    });
    Ok(())
}
