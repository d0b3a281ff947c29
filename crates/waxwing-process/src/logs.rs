//! Structured logs on standard error.

/// A `LogFormat` is the form of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line, for collectors.
    Json,
}

/// Starts the logs of the process; a second start changes nothing.
pub fn start(format: LogFormat) {
    let filter = tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => lines.try_init(),
        LogFormat::Json => lines.json().try_init(),
    };
}
