//! The client of the operators' interface. A request whose answer was lost is sent again, to the
//! next control host, with the same bytes; the log recognises the change id.

use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{client::legacy, rt};
use serde::{Serialize, de::DeserializeOwned};
use waxwing_core::{clock::Clock, ids};
use waxwing_settings::operations;

use crate::arguments;

/// Time for one attempt; above the time that a control host gives the quorum.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(5);

/// Time for all attempts, in which any election ends.
const REQUEST_LIMIT: Duration = Duration::from_secs(20);

/// Pause between attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a control host may hold a request for history until there is a change.
const WATCH_WAIT: Duration = Duration::from_secs(3);

type HttpClient = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// A `ControlCaller` sends requests to the control hosts.
#[derive(Clone)]
pub struct ControlCaller<C> {
    hosts: Vec<String>,
    token: String,
    client: HttpClient,
    clock: C,
}

impl<C> std::fmt::Debug for ControlCaller<C> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The token is left out on purpose.
        formatter
            .debug_struct("ControlCaller")
            .field("hosts", &self.hosts)
            .finish_non_exhaustive()
    }
}

impl<C: Clock> ControlCaller<C> {
    /// Builds a caller.
    #[must_use]
    pub fn new(hosts: Vec<String>, token: String, clock: C) -> Self {
        Self {
            hosts,
            token,
            client: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
            clock,
        }
    }

    /// Builds a caller from the command line and the environment.
    ///
    /// # Errors
    /// Fails if there is no token.
    pub fn from_arguments(
        arguments: &arguments::ConnectionArguments,
        clock: C,
    ) -> anyhow::Result<Self> {
        let token = match &arguments.token_file {
            Some(file) => std::fs::read_to_string(file)
                .with_context(|| format!("the token file {}", file.display()))?,
            None => std::env::var("WAXWINGCTL_TOKEN")
                .context("no token: give --token-file or set WAXWINGCTL_TOKEN")?,
        };
        let token = token.trim().to_owned();
        Ok(Self::new(arguments.control.clone(), token, clock))
    }

    /// Reads the tree or a part of it.
    ///
    /// # Errors
    /// Fails if no control host answers or the path is absent.
    pub async fn read_settings(&self, path: &str) -> anyhow::Result<operations::SettingsAnswer> {
        let path = path.trim_end_matches('/');
        self.get(&format!("/v1/settings?path={path}")).await
    }

    /// Reads the accepted changes after a version, and waits for one if `wait` is given.
    ///
    /// # Errors
    /// Fails if no control host answers.
    pub async fn read_history(
        &self,
        after: ids::SettingsVersion,
        wait: bool,
    ) -> anyhow::Result<operations::HistoryAnswer> {
        let wait = if wait { WATCH_WAIT.as_millis() } else { 0 };
        self.get(&format!(
            "/v1/settings/changes?after={after}&wait_ms={wait}"
        ))
        .await
    }

    /// Reads the status.
    ///
    /// # Errors
    /// Fails if no control host answers.
    pub async fn read_status(&self) -> anyhow::Result<operations::StatusAnswer> {
        self.get("/v1/status").await
    }

    /// Submits a change.
    ///
    /// # Errors
    /// Fails if no control host answers; the change may then be accepted, and the same request
    /// finds out.
    pub async fn submit_change(
        &self,
        request: &operations::ChangeRequest,
    ) -> anyhow::Result<operations::ChangeAnswer> {
        self.post("/v1/settings/changes", request).await
    }

    /// Changes the control hosts.
    ///
    /// # Errors
    /// Fails if no control host answers.
    pub async fn change_member(
        &self,
        request: &operations::MemberRequest,
    ) -> anyhow::Result<operations::ChangeAnswer> {
        self.post("/v1/members", request).await
    }

    /// Waits until every process with a live lease runs `version`; returns those that don't when
    /// the time is over.
    ///
    /// # Errors
    /// Fails if no control host answers.
    pub async fn wait_in_force(
        &self,
        version: ids::SettingsVersion,
        limit: Duration,
    ) -> anyhow::Result<Vec<operations::ProcessStatus>> {
        let started = self.clock.now();
        loop {
            let status = self.read_status().await?;
            let behind = |process: &operations::ProcessStatus| process.version < version;
            let lagging: Vec<_> = status.processes.into_iter().filter(behind).collect();
            // An answer that no quorum confirmed may miss processes.
            let done = lagging.is_empty() && status.confirmed && status.version >= version;
            if done || self.clock.now().saturating_duration_since(started) >= limit {
                return Ok(lagging);
            }
            self.clock.sleep(RETRY_PAUSE).await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let (_, body) = self.call(&Method::GET, path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<T> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        let (_, body) = self.call(&Method::POST, path, body).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a request until some host gives an answer that sending again can't better.
    async fn call(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let started = self.clock.now();
        let mut hosts = self.hosts.iter().cycle();
        for attempt in 1.. {
            let host = hosts.next().context("no control host is given")?;
            let failure = match self.attempt(host, method, path, body.clone()).await {
                Ok((status, body)) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    return accept(status, body);
                }
                Ok((_, body)) => error_text(&body),
                Err(error) => format!("{error:#}"),
            };
            if self.clock.now().saturating_duration_since(started) >= REQUEST_LIMIT {
                anyhow::bail!("no control host answered; the last one, {host}: {failure}");
            }
            // The next host may be fine; only a whole round without an answer calls for a pause.
            if attempt % self.hosts.len() == 0 {
                self.clock.sleep(RETRY_PAUSE).await;
            }
        }
        unreachable!("the attempts are not counted out")
    }

    async fn attempt(
        &self,
        host: &str,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", host.trim_end_matches('/')))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(Full::new(body))
            .context("the address of the control host or the token is not valid")?;
        let work = async {
            let response = self.client.request(request).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), operations::MAX_BODY_BYTES);
            let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
            Ok((status, body.to_bytes()))
        };
        tokio::select! {
            output = work => output,
            () = self.clock.sleep(ATTEMPT_LIMIT) => anyhow::bail!("no answer within 5 s"),
        }
    }
}

/// Passes on the answers that hold a result, and turns all others into errors.
fn accept(status: StatusCode, body: Bytes) -> anyhow::Result<(StatusCode, Bytes)> {
    let is_change = serde_json::from_slice::<operations::ChangeAnswer>(&body).is_ok();
    if status.is_success() || is_change {
        Ok((status, body))
    } else {
        anyhow::bail!("{status}: {}", error_text(&body))
    }
}

fn error_text(body: &[u8]) -> String {
    serde_json::from_slice::<operations::ErrorAnswer>(body).map_or_else(
        |_| "an answer that can't be read".to_owned(),
        |answer| answer.error,
    )
}
