//! The HTTP client of the operators' interface. A request without an answer is retried at the next
//! control host with the same body; a change that was already accepted is recognised by its id.

use std::time::Duration;

use anyhow::Context as _;
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{client::legacy, rt};
use serde::{Serialize, de::DeserializeOwned};
use waxwing_core::{clock::Clock, ids};
use waxwing_settings::operations;

use crate::{arguments, rollouts};

/// Time limit of one attempt; longer than a control host waits for a quorum.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(5);

/// Time limit of all attempts of a request; long enough for any election to end.
const REQUEST_LIMIT: Duration = Duration::from_secs(20);

/// Pause after every control host was tried, and between polls of the status.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time for which a control host may hold a long poll for history until there is a change.
const WATCH_WAIT: Duration = Duration::from_secs(3);

type HttpClient = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// Sends requests of an operator to the control hosts and retries them.
#[derive(Clone)]
pub struct ControlCaller<C> {
    hosts: Vec<String>,
    token: String,
    client: HttpClient,
    clock: C,
}

impl<C> std::fmt::Debug for ControlCaller<C> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Omits the token, so that it never appears in logs.
        formatter
            .debug_struct("ControlCaller")
            .field("hosts", &self.hosts)
            .finish_non_exhaustive()
    }
}

impl<C: Clock> ControlCaller<C> {
    /// Builds a caller for control hosts given as `http://ip:port`.
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
    /// Fails if the token file can't be read or no token is given.
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

    /// Reads the settings tree or a part of it.
    ///
    /// # Errors
    /// Fails if no control host answers or the path does not exist.
    pub async fn read_settings(&self, path: &str) -> anyhow::Result<operations::SettingsAnswer> {
        let path = path.trim_end_matches('/');
        self.get(&format!("/v1/settings?path={path}")).await
    }

    /// Reads the changes accepted after a version; with `wait`, the control host holds the request
    /// for a few seconds until there is one.
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

    /// Reads the status of control hosts and processes.
    ///
    /// # Errors
    /// Fails if no control host answers.
    pub async fn read_status(&self) -> anyhow::Result<operations::StatusAnswer> {
        self.get("/v1/status").await
    }

    /// Submits a settings change.
    ///
    /// # Errors
    /// Fails if no control host answers; the change may have been accepted nevertheless, and
    /// submitting the same request again tells.
    pub async fn submit_change(
        &self,
        request: &operations::ChangeRequest,
    ) -> anyhow::Result<operations::ChangeAnswer> {
        self.post("/v1/settings/changes", request).await
    }

    /// Changes the membership of the control hosts.
    ///
    /// # Errors
    /// Fails if no control host answers.
    pub async fn change_member(
        &self,
        request: &operations::MemberRequest,
    ) -> anyhow::Result<operations::ChangeAnswer> {
        self.post("/v1/members", request).await
    }

    /// Orders a roll-out.
    ///
    /// # Errors
    /// Fails if the order is refused or no control host answers; the same order may be sent again.
    pub async fn start_rollout(&self, order: &rollouts::RolloutOrder) -> anyhow::Result<()> {
        let _: serde_json::Value = self.post("/v1/rollouts", order).await?;
        Ok(())
    }

    /// Reads the last roll-out of each service.
    ///
    /// # Errors
    /// Fails if no control host answers.
    pub async fn list_rollouts(&self) -> anyhow::Result<rollouts::RolloutList> {
        self.get("/v1/rollouts").await
    }

    /// Waits until every process with a live lease runs at least `version`; returns those that don't
    /// after `limit`.
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
            // A status that no quorum confirmed may lack processes.
            let done = lagging.is_empty() && status.confirmed && status.version >= version;
            if done || self.clock.now().saturating_duration_since(started) >= limit {
                return Ok(lagging);
            }
            self.clock.sleep(RETRY_PAUSE).await;
        }
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> anyhow::Result<T> {
        let (_, body) = self
            .send_with_retries(&Method::GET, path, Bytes::new())
            .await?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<T> {
        let body = Bytes::from(serde_json::to_vec(body)?);
        let (_, body) = self.send_with_retries(&Method::POST, path, body).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sends a request to one host after the other until one gives a final answer, which is any but
    /// 503.
    async fn send_with_retries(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> anyhow::Result<(StatusCode, Bytes)> {
        let started = self.clock.now();
        let mut hosts = self.hosts.iter().cycle();
        for attempt in 1.. {
            let host = hosts.next().context("no control host is given")?;
            let failure = match self.send_once(host, method, path, body.clone()).await {
                Ok((status, body)) if status != StatusCode::SERVICE_UNAVAILABLE => {
                    return check_response(status, body);
                }
                Ok((_, body)) => error_text(&body),
                Err(error) => format!("{error:#}"),
            };
            if self.clock.now().saturating_duration_since(started) >= REQUEST_LIMIT {
                anyhow::bail!("no control host answered; last attempt, at {host}: {failure}");
            }
            // The next host may be available, so pause only after a round without an answer.
            if attempt % self.hosts.len() == 0 {
                self.clock.sleep(RETRY_PAUSE).await;
            }
        }
        unreachable!("the number of attempts is unbounded")
    }

    async fn send_once(
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

/// Returns successful responses and results of changes, and turns all others into errors.
fn check_response(status: StatusCode, body: Bytes) -> anyhow::Result<(StatusCode, Bytes)> {
    let is_change = serde_json::from_slice::<operations::ChangeAnswer>(&body).is_ok();
    if status.is_success() || is_change {
        Ok((status, body))
    } else {
        anyhow::bail!("{status}: {}", error_text(&body))
    }
}

fn error_text(body: &[u8]) -> String {
    serde_json::from_slice::<operations::ErrorAnswer>(body).map_or_else(
        |_| "the response body can't be decoded".to_owned(),
        |answer| answer.error,
    )
}
