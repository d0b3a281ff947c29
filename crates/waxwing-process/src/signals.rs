//! Signals: graceful shutdown at SIGTERM and SIGINT, and replacement of keys at SIGHUP.

use std::io;

use tokio::signal::unix;
use tokio_util::sync::CancellationToken;
use waxwing_wire::security;

/// Returns a token that is cancelled when the process is told to stop.
///
/// # Errors
/// Fails if the operating system refuses the handlers.
pub fn stop_token() -> io::Result<CancellationToken> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let token = CancellationToken::new();
    let stopped = token.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        tracing::info!("graceful shutdown begins");
        stopped.cancel();
    });
    Ok(token)
}

/// Reads the keys of links again at each SIGHUP; keys that can't be used leave the former ones in
/// use. Without key files nothing happens.
///
/// # Errors
/// Fails if the operating system refuses the handler.
pub fn reload_keys(
    security: security::LinkSecurity,
    files: Option<security::TlsFiles>,
) -> io::Result<()> {
    let Some(files) = files else { return Ok(()) };
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            match security.reload(&files) {
                Ok(()) => tracing::info!("keys of links replaced"),
                Err(error) => tracing::error!(%error, "keys of links can't be replaced"),
            }
        }
    });
    Ok(())
}
