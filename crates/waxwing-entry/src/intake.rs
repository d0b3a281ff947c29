//! Admission of HTTP requests: authentication, tier, deadline, body, limits, and the resulting
//! plan.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::{Method, StatusCode, body, http::request};
use sha2::{Digest as _, Sha256};
use waxwing_core::{clock, ids, prompts, reasons, units};
use waxwing_policy::{accounts, prefixes};
use waxwing_settings::view;
use waxwing_wire::messages;

use crate::{
    control,
    formats::{self, CallerFormat},
    headers, problems,
    request_core::plan,
    routes, state,
};

/// Timeout of reading a request body; 30 s.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Memory in bytes that is reserved for a request besides its body, so that the number of requests
/// with empty bodies is bounded too.
const REQUEST_OVERHEAD_BYTES: u64 = 1_024;

type IntakeResult<T> = Result<T, problems::ProblemBody>;

fn problem(reason: reasons::RefusalReason) -> problems::ProblemBody {
    problems::ProblemBody::new(reason)
}

/// What a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallTarget {
    /// A model, named in the body.
    Model,
    /// A plain service.
    Plain {
        /// The service.
        service: ids::ServiceName,
        /// The path and query sent to the endpoint.
        path: String,
    },
}

/// An admitted request with the resources that it holds until it ends.
pub struct AcceptedCall {
    /// The settings that it was accepted under.
    pub view: Arc<view::SettingsView>,
    /// The plan of the request.
    pub plan: plan::RequestPlan,
    /// The memory reserved for its body.
    pub body_reservation: state::BodyReservation,
    /// The permit of its account.
    pub account_permit: state::AccountPermit,
}

/// Admission of one request.
pub struct CallIntake<'a, C, P> {
    shared: &'a Arc<state::EntryShared<C, P>>,
    view: Arc<view::SettingsView>,
    request: ids::RequestId,
    accepted: Instant,
}

/// The parts of a request other than its body.
struct CallParts<'a> {
    head: &'a request::Parts,
    target: CallTarget,
    account: view::AccountEntry,
    caller_headers: headers::CallerHeaders,
}

/// What a request asks for, derived from its target and body.
struct CallDemand {
    service: ids::ServiceName,
    settings: view::ServiceSettings,
    model: Option<ids::ModelName>,
    prompt: units::TokenCount,
    output: units::TokenCount,
    prefixes: Vec<prefixes::PrefixHash>,
    stream: bool,
    path: String,
}

/// Returns the account of a request's bearer token.
///
/// # Errors
/// Fails if the token is missing or unknown.
pub fn authenticate(
    view: &view::SettingsView,
    head: &hyper::HeaderMap,
) -> IntakeResult<view::AccountEntry> {
    headers::bearer_token(head)
        .and_then(|token| view.account(token))
        .cloned()
        .ok_or_else(|| problem(reasons::RefusalReason::Unauthorized))
}

impl<'a, C: clock::Clock, P: control::ControlPort> CallIntake<'a, C, P> {
    /// Starts the admission of a request under the current settings.
    ///
    /// # Errors
    /// Fails if there are no settings or they are too old.
    pub fn begin(
        shared: &'a Arc<state::EntryShared<C, P>>,
        request: ids::RequestId,
    ) -> IntakeResult<Self> {
        let accepted = shared.clock.now();
        if !shared.control.freshness().is_ready() {
            return Err(problem(reasons::RefusalReason::StaleSettings)
                .with_retry_after(Some(Duration::from_secs(2))));
        }
        Ok(Self {
            shared,
            view: shared.control.settings(),
            request,
            accepted,
        })
    }

    /// Reads and checks the request, and builds its plan.
    ///
    /// # Errors
    /// Fails with the refusal for the caller; the request did not run.
    pub async fn accept<B>(
        self,
        head: &request::Parts,
        target: CallTarget,
        body: B,
    ) -> IntakeResult<AcceptedCall>
    where
        B: body::Body<Data = Bytes>,
    {
        let parts = CallParts {
            account: authenticate(&self.view, &head.headers)?,
            caller_headers: headers::CallerHeaders::read(&head.headers)?,
            head,
            target,
        };
        let (rank, limit) = self.provisional_limits(&parts)?;
        let body_reservation = state::BodyReservation {
            body_memory: self.shared.body_memory.clone(),
            request: self.request,
        };
        let body = self.read_body(rank, limit, body).await?;
        let demand = self.demand(&parts, &body)?;
        let plan = self.plan(&parts, demand, body)?;
        let bytes = units::ByteCount(plan.body.len() as u64 + REQUEST_OVERHEAD_BYTES);
        self.shared.admit_body(self.request, plan.rank, bytes)?;
        let account_permit = self.admit_account(&parts.account, &plan)?;
        Ok(AcceptedCall {
            view: self.view,
            plan,
            body_reservation,
            account_permit,
        })
    }

    /// Returns the rank and the body size limit that apply until the body is read. The service of a
    /// model request is not known yet, so these are the most urgent rank and the largest limit of
    /// all services that it may turn out to use.
    fn provisional_limits(
        &self,
        parts: &CallParts<'_>,
    ) -> IntakeResult<(ids::TierRank, units::ByteCount)> {
        if let CallTarget::Plain { service, .. } = &parts.target {
            let settings = self.plain_service(service, &parts.account)?;
            let tier = self.tier(parts, settings)?;
            return Ok((tier.rank, settings.max_body_bytes));
        }
        let usable = self.view.services.iter().filter(|(name, settings)| {
            settings.kind == view::ServiceKind::Model && is_allowed(&parts.account, name)
        });
        let mut widest = None;
        for (_, settings) in usable {
            let rank = self.tier(parts, settings)?.rank;
            let limit = settings.max_body_bytes;
            let (first_rank, first_limit) = widest.unwrap_or((rank, limit));
            widest = Some((rank.min(first_rank), limit.max(first_limit)));
        }
        widest.ok_or_else(|| problem(reasons::RefusalReason::Forbidden))
    }

    fn plain_service(
        &self,
        name: &ids::ServiceName,
        account: &view::AccountEntry,
    ) -> IntakeResult<&view::ServiceSettings> {
        let settings = self.view.services.get(name);
        let plain = settings.filter(|settings| settings.kind == view::ServiceKind::Plain);
        let Some(settings) = plain else {
            return Err(problem(reasons::RefusalReason::UnknownService));
        };
        if is_allowed(account, name) {
            Ok(settings)
        } else {
            Err(problem(reasons::RefusalReason::Forbidden))
        }
    }

    fn tier(
        &self,
        parts: &CallParts<'_>,
        service: &view::ServiceSettings,
    ) -> IntakeResult<&view::TierSettings> {
        let name = parts.caller_headers.tier.as_ref();
        let name = name.unwrap_or(&service.default_tier);
        let allowed = &parts.account.settings.tiers;
        let Some(tier) = self.view.tree.tiers.get(name) else {
            return Err(problem(reasons::RefusalReason::UnknownTier));
        };
        if allowed.is_empty() || allowed.contains(name) {
            Ok(tier)
        } else {
            Err(problem(reasons::RefusalReason::Forbidden))
        }
    }

    /// Reads the body within its size limit and the memory for bodies.
    async fn read_body<B>(
        &self,
        rank: ids::TierRank,
        limit: units::ByteCount,
        body: B,
    ) -> IntakeResult<Bytes>
    where
        B: body::Body<Data = Bytes>,
    {
        let mut body = pin!(body);
        let expected = body::Body::size_hint(&body).exact();
        let expected = units::ByteCount(expected.unwrap_or(limit.0));
        if expected > limit {
            return Err(problem(reasons::RefusalReason::BodyTooLarge));
        }
        let reserved = expected + units::ByteCount(REQUEST_OVERHEAD_BYTES);
        self.shared.admit_body(self.request, rank, reserved)?;
        let mut bytes = BytesMut::new();
        let mut timer = pin!(self.shared.clock.sleep(BODY_READ_TIMEOUT));
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = &mut timer => return Err(body_timeout()),
            };
            let Some(frame) = frame else {
                return Ok(bytes.freeze());
            };
            let Ok(frame) = frame else {
                return Err(problem(reasons::RefusalReason::Malformed)
                    .with_detail("the body could not be read to its end"));
            };
            let data = frame.into_data().unwrap_or_default();
            if bytes.len() + data.len() > usize::try_from(limit.0).unwrap_or(usize::MAX) {
                return Err(problem(reasons::RefusalReason::BodyTooLarge));
            }
            if !routes::lock(&self.shared.body_memory).contains(self.request) {
                return Err(problem(reasons::RefusalReason::Evicted)
                    .with_retry_after(Some(Duration::from_secs(1))));
            }
            bytes.extend_from_slice(&data);
        }
    }

    fn demand(&self, parts: &CallParts<'_>, body: &Bytes) -> IntakeResult<CallDemand> {
        match &parts.target {
            CallTarget::Model => self.model_demand(&parts.account, body),
            CallTarget::Plain { service, path } => {
                let settings = self.plain_service(service, &parts.account)?;
                Ok(CallDemand {
                    service: service.clone(),
                    settings: settings.clone(),
                    model: None,
                    // Plain requests count as one token each, so that fair sharing includes them.
                    prompt: units::TokenCount(1),
                    output: units::TokenCount::ZERO,
                    prefixes: Vec::new(),
                    stream: wants_stream(&parts.head.headers),
                    path: path.clone(),
                })
            }
        }
    }

    fn model_demand(&self, account: &view::AccountEntry, body: &Bytes) -> IntakeResult<CallDemand> {
        let call = formats::OpenAiFormat::parse_model_call(body).map_err(|error| {
            problem(reasons::RefusalReason::Malformed).with_detail(&error.to_string())
        })?;
        let found = self.view.model_service(&call.model, &account.settings);
        let Some((service, settings)) = found else {
            let mut services = self.view.services.values();
            let offered = services.any(|service| service.models.contains(&call.model));
            return Err(problem(if offered {
                reasons::RefusalReason::Forbidden
            } else {
                reasons::RefusalReason::UnknownModel
            }));
        };
        let model = self.view.tree.models.get(&call.model);
        let expected = model.map_or(units::TokenCount(256), |model| model.expected_output_tokens);
        let prompt = prompts::estimate_tokens(&call.prompt);
        let context = model.map(|model| model.context_tokens);
        if context.is_some_and(|context| prompt > context) {
            return Err(problem(reasons::RefusalReason::BodyTooLarge)
                .with_detail("the prompt is longer than the context of the model"));
        }
        Ok(CallDemand {
            service: service.clone(),
            settings: settings.clone(),
            prompt,
            output: call
                .max_tokens
                .map_or(expected, |limit| limit.min(expected)),
            prefixes: prefixes::sample_hashes(&prompts::block_hashes(&call.prompt)),
            model: Some(call.model),
            stream: call.stream,
            path: formats::OpenAiFormat::MODEL_PATH.to_owned(),
        })
    }

    fn plan(
        &self,
        parts: &CallParts<'_>,
        demand: CallDemand,
        body: Bytes,
    ) -> IntakeResult<plan::RequestPlan> {
        if body.len() as u64 > demand.settings.max_body_bytes.0 {
            return Err(problem(reasons::RefusalReason::BodyTooLarge));
        }
        let tier = self.tier(parts, &demand.settings)?;
        let default = Duration::from_millis(tier.default_deadline_ms);
        let deadline = self.accepted + parts.caller_headers.deadline.unwrap_or(default);
        let claim = self.claim(parts, &demand, &body)?;
        Ok(plan::RequestPlan {
            request: self.request,
            account: parts.account.name.clone(),
            weight_millis: parts.account.settings.weight_millis,
            rank: tier.rank,
            idempotent: is_idempotent(&demand, &parts.head.method),
            model: demand.model,
            service: demand.service,
            prompt: demand.prompt,
            output: demand.output,
            prefixes: demand.prefixes,
            stream: demand.stream,
            accepted: self.accepted,
            deadline,
            method: parts.head.method.to_string(),
            path: demand.path,
            headers: headers::request_headers(&parts.head.headers, self.request),
            body,
            claim,
            offers: offer_limits(&self.view.tree.policy),
        })
    }

    /// Plans the claim of a request with an idempotency key. Stale settings may name the wrong
    /// group, so no claim is made under them.
    fn claim(
        &self,
        parts: &CallParts<'_>,
        demand: &CallDemand,
        body: &Bytes,
    ) -> IntakeResult<Option<plan::ClaimPlan>> {
        let Some(key) = &parts.caller_headers.key else {
            return Ok(None);
        };
        if !self.shared.control.freshness().allows_claims() {
            return Err(problem(reasons::RefusalReason::ClaimUnavailable)
                .with_retry_after(Some(Duration::from_secs(2))));
        }
        let name = messages::ClaimName {
            account: parts.account.name.to_string(),
            service: demand.service.to_string(),
            key: key.clone(),
        };
        Ok(Some(plan::ClaimPlan {
            name,
            digest: request_digest(&parts.head.method, &demand.path, body),
            group: ids::GroupId(0),
        }))
    }

    fn admit_account(
        &self,
        account: &view::AccountEntry,
        plan: &plan::RequestPlan,
    ) -> IntakeResult<state::AccountPermit> {
        let limits = accounts::AccountLimits {
            requests_per_second: account.settings.requests_per_second,
            concurrent_requests: account.settings.concurrent_requests,
            tokens_per_second: account.settings.tokens_per_second,
        };
        let tokens = plan.prompt + plan.output;
        let now = self.shared.clock.now();
        let mut table = routes::lock(&self.shared.accounts);
        table
            .admit(&account.name, &limits, tokens, now)
            .map_err(|refusal| problem(refusal.reason).with_retry_after(refusal.retry_after))?;
        Ok(state::AccountPermit {
            accounts: self.shared.accounts.clone(),
            account: account.name.clone(),
        })
    }
}

fn body_timeout() -> problems::ProblemBody {
    problem(reasons::RefusalReason::Malformed)
        .with_status(StatusCode::REQUEST_TIMEOUT)
        .with_detail("the body did not arrive within 30 s")
}

fn is_allowed(account: &view::AccountEntry, service: &ids::ServiceName) -> bool {
    account.settings.services.is_empty() || account.settings.services.contains(service)
}

fn wants_stream(headers: &hyper::HeaderMap) -> bool {
    let accept = headers.get(hyper::header::ACCEPT);
    let accept = accept.and_then(|value| value.to_str().ok());
    accept.is_some_and(|accept| accept.contains("text/event-stream"))
}

/// Returns whether a request may run twice: model requests, and plain requests whose method the
/// service lists or, without a list, is idempotent in HTTP except TRACE.
fn is_idempotent(demand: &CallDemand, method: &Method) -> bool {
    if demand.model.is_some() {
        return true;
    }
    match &demand.settings.idempotent_methods {
        Some(methods) => methods.contains(method.as_str()),
        None => method.is_idempotent() && method != Method::TRACE,
    }
}

fn offer_limits(policy: &view::PolicySettings) -> plan::OfferLimits {
    if policy.routing != view::RoutingPolicy::LateBinding {
        return plan::OfferLimits {
            initial: 1,
            max_open: 1,
            immediate: true,
        };
    }
    let initial = usize::try_from(policy.offers).unwrap_or(1).clamp(1, 8);
    let max_open = usize::try_from(policy.offers_max).unwrap_or(1);
    plan::OfferLimits {
        initial,
        max_open: max_open.clamp(initial, 16),
        immediate: false,
    }
}

/// Computes the digest that distinguishes a retry from another request with the same idempotency
/// key. Each part is prefixed with its length, so that different requests never yield the same
/// input.
fn request_digest(method: &Method, path: &str, body: &[u8]) -> Vec<u8> {
    let mut hasher = Sha256::new();
    for part in [method.as_str().as_bytes(), path.as_bytes(), body] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_vec()
}
