//! The closed lists of refusal and retry reasons. Each reason has one name, used in answers to
//! callers, in messages between processes and as the name of its counter.

use std::{fmt, str};

use crate::errors;

macro_rules! reason_type {
    ($(#[$doc:meta])* $type:ident, $words:literal, { $($(#[$variant_doc:meta])* $variant:ident = $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $type {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $type {
            /// Every value, in the order of the counters.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Returns the fixed name.
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
                    _ => Err(errors::ParseError::new($words, text, "one of the listed names")),
                }
            }
        }
    };
}

reason_type!(
    /// An `Outcome` tells a caller whether a refused request may have run.
    Outcome, "outcome", {
        /// It is proved that nothing ran.
        NotRun = "not-run",
        /// It can't be proved that nothing ran.
        Unknown = "unknown",
    }
);

reason_type!(
    /// A `RefusalReason` tells why a request was not answered whole.
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
        /// The account's request rate is used up.
        AccountRate = "account-rate",
        /// The account's concurrent requests are used up.
        AccountConcurrency = "account-concurrency",
        /// The account's token rate is used up.
        AccountTokens = "account-tokens",
        /// The entry's memory for waiting bodies is used up by work of this tier or above.
        EntryMemory = "entry-memory",
        /// The request was evicted to make room for a higher tier.
        Evicted = "evicted",
        /// No endpoint that could serve the request is known.
        NoEndpoint = "no-endpoint",
        /// No endpoint can end the request within its deadline.
        DeadlineUnreachable = "deadline-unreachable",
        /// The deadline passed while the request waited.
        DeadlinePassed = "deadline-passed",
        /// The endpoint's agent is draining or leaving.
        Draining = "draining",
        /// The process is shutting down.
        ShuttingDown = "shutting-down",
        /// The process has no confirmed settings, or stale ones beyond the limit.
        StaleSettings = "stale-settings",
        /// The durable claim on the idempotency key could not be had.
        ClaimUnavailable = "claim-unavailable",
        /// The idempotency key was used with another body.
        KeyMismatch = "key-mismatch",
        /// The first run of the key ended in a way that can't be known.
        KeyUnknown = "key-unknown",
        /// The agent was lost after the hand-over.
        AgentLost = "agent-lost",
        /// The endpoint failed after the request was admitted.
        EndpointFailed = "endpoint-failed",
        /// The caller went away.
        CallerGone = "caller-gone",
        /// The grant had ended when the request was handed over.
        GrantExpired = "grant-expired",
        /// A request with this id is not known, or its answer is no longer kept.
        UnknownRequest = "unknown-request",
    }
);

reason_type!(
    /// A `RetryReason` tells why a request was offered or sent again.
    RetryReason, "retry reason", {
        /// The agent refused the offer or the hand-over; nothing ran.
        Refused = "refused",
        /// The link was lost before the hand-over.
        LinkLost = "link-lost",
        /// Settlement showed that the request never arrived.
        NeverReceived = "never-received",
        /// The control host did not answer a claim in time.
        ClaimTimeout = "claim-timeout",
    }
);
