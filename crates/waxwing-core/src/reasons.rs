//! The reasons for refusals and retries. Each reason has one name, which is used in responses to
//! callers, in messages between processes and as the name of its counter.

use std::{fmt, str};

use crate::errors;

macro_rules! reason_type {
    ($(#[$doc:meta])* $type:ident, $type_name:literal, { $($(#[$variant_doc:meta])* $variant:ident = $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $type {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $type {
            /// All values, in the order of their counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the name used in responses, messages and counters; it must not change.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(self.as_str())
            }
        }

        impl str::FromStr for $type {
            type Err = errors::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match text {
                    $($name => Ok(Self::$variant),)*
                    _ => Err(errors::ParseError::new($type_name, text, "one of the listed names")),
                }
            }
        }
    };
}

reason_type!(
    /// Whether a refused request may have run.
    Outcome, "outcome", {
        /// The request has certainly not run.
        NotRun = "not-run",
        /// The request may have run.
        Unknown = "unknown",
    }
);

reason_type!(
    /// The reason why a request got no complete response.
    RefusalReason, "refusal reason", {
        /// The bearer token is missing or unknown.
        Unauthorized = "unauthorized",
        /// The client account may not use this service or tier.
        Forbidden = "forbidden",
        /// The request could not be read.
        Malformed = "malformed",
        /// The body is larger than the limit of the service.
        BodyTooLarge = "body-too-large",
        /// No service has this name.
        UnknownService = "unknown-service",
        /// No service offers this model.
        UnknownModel = "unknown-model",
        /// No tier has this name.
        UnknownTier = "unknown-tier",
        /// The account has reached its request rate limit.
        AccountRate = "account-rate",
        /// The account has reached its limit of concurrent requests.
        AccountConcurrency = "account-concurrency",
        /// The account has reached its token rate limit.
        AccountTokens = "account-tokens",
        /// The entry's memory for the bodies of waiting requests is used up by requests of this tier
        /// or higher tiers.
        EntryMemory = "entry-memory",
        /// The request was evicted from the queue in favour of a higher tier.
        Evicted = "evicted",
        /// No known endpoint can serve the request.
        NoEndpoint = "no-endpoint",
        /// No endpoint can complete the request before its deadline.
        DeadlineUnreachable = "deadline-unreachable",
        /// The deadline expired while the request was waiting.
        DeadlinePassed = "deadline-passed",
        /// The endpoint's agent is draining or shutting down.
        Draining = "draining",
        /// The process is shutting down.
        ShuttingDown = "shutting-down",
        /// The settings of the process were never confirmed, or not within the limit for stale
        /// settings.
        StaleSettings = "stale-settings",
        /// The idempotency key could not be claimed durably.
        ClaimUnavailable = "claim-unavailable",
        /// The idempotency key was already used for a different request.
        KeyMismatch = "key-mismatch",
        /// The outcome of the first request with the idempotency key can't be determined.
        KeyUnknown = "key-unknown",
        /// The agent was lost after the hand-over.
        AgentLost = "agent-lost",
        /// The endpoint failed after the request was admitted.
        EndpointFailed = "endpoint-failed",
        /// The caller disconnected.
        CallerGone = "caller-gone",
        /// The grant had expired when the request was handed over.
        GrantExpired = "grant-expired",
        /// No request with this id is known, or its response is no longer retained.
        UnknownRequest = "unknown-request",
    }
);

reason_type!(
    /// The reason why a request was offered or sent again.
    RetryReason, "retry reason", {
        /// The agent refused the offer or the hand-over; nothing ran.
        Refused = "refused",
        /// The link was lost before the hand-over.
        LinkLost = "link-lost",
        /// The agent reported, when asked, that the request had never arrived.
        NeverReceived = "never-received",
        /// A control host did not respond to a claim in time.
        ClaimTimeout = "claim-timeout",
    }
);
