//! The schema of the settings tree: types, units, ranges and defaults of all settings. Validation
//! and the operators' page are both derived from it, so they can't diverge.

/// The largest integer that JSON parsers with double-precision numbers represent exactly, 2^53 - 1.
const MAX_SAFE_INTEGER: u64 = 9_007_199_254_740_991;

/// What a name refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameKind {
    /// Tiers of the tree.
    Tier,
    /// Models of the tree.
    Model,
    /// Services of any team.
    Service,
    /// Processes, which are not part of the tree.
    Process,
}

/// The type of a setting with its range.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SettingKind {
    /// An integer within an inclusive range.
    Whole(u64, u64),
    /// A number within an inclusive range.
    Number(f64, f64),
    /// A string of at most this many bytes.
    Text(usize),
    /// One of a list of strings.
    Choice(&'static [&'static str]),
    /// A name.
    Name(NameKind),
    /// A list of names.
    Names(NameKind),
    /// A list of HTTP methods in upper case.
    Methods,
    /// A list of at most four SHA-256 digests in hexadecimal.
    Digests,
    /// A list of paths in the settings tree.
    Paths,
}

/// The specification of a setting.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SettingSpec {
    /// The path; `{…}` stands for a name that operators choose.
    pub path: &'static str,
    /// The type and range.
    pub kind: SettingKind,
    /// The unit; empty if there is none.
    pub unit: &'static str,
    /// The default; `None` for a required setting, `none` for an optional one without a default.
    pub default: Option<&'static str>,
    /// The description on the operators' page.
    pub meaning: &'static str,
}

const fn spec(
    path: &'static str,
    kind: SettingKind,
    unit: &'static str,
    default: Option<&'static str>,
    meaning: &'static str,
) -> SettingSpec {
    SettingSpec {
        path,
        kind,
        unit,
        default,
        meaning,
    }
}

use SettingKind::{Choice, Digests, Methods, Name, Names, Number, Paths, Text, Whole};

/// Every setting of the tree, in the order of the operators' page.
pub const SETTINGS: &[SettingSpec] = &[
    spec(
        "/tiers/{tier}/rank",
        Whole(0, 255),
        "",
        None,
        "Order of the tier; 0 is served first. Two tiers can't share a rank.",
    ),
    spec(
        "/tiers/{tier}/default_deadline_ms",
        Whole(1, 3_600_000),
        "ms",
        Some("60000"),
        "Deadline of a request that names none.",
    ),
    spec(
        "/models/{model}/version",
        Text(256),
        "",
        Some(""),
        "Version of the weights.",
    ),
    spec(
        "/models/{model}/copies",
        Whole(1, 10_000),
        "endpoints",
        Some("1"),
        "Number of endpoints that should have the model loaded.",
    ),
    spec(
        "/models/{model}/context_tokens",
        Whole(1, 100_000_000),
        "tokens",
        Some("131072"),
        "Longest context.",
    ),
    spec(
        "/models/{model}/expected_output_tokens",
        Whole(1, 100_000_000),
        "tokens",
        Some("256"),
        "Output expected of a request that names no limit.",
    ),
    spec(
        "/models/{model}/weight_bytes",
        Whole(0, MAX_SAFE_INTEGER),
        "bytes",
        Some("0"),
        "Size of the weights, counted against the weight store's rate.",
    ),
    spec(
        "/policy/routing",
        Choice(&[
            "random",
            "round-robin",
            "least-reported",
            "two-choices",
            "late-binding",
        ]),
        "",
        Some("late-binding"),
        "How endpoints are picked; all but the default are baselines for measurement.",
    ),
    spec(
        "/policy/offers",
        Whole(1, 8),
        "agents",
        Some("2"),
        "Agents that get an offer at first.",
    ),
    spec(
        "/policy/offers_max",
        Whole(1, 16),
        "agents",
        Some("4"),
        "Agents that may hold an offer at one time; at least `offers`.",
    ),
    spec(
        "/policy/first_token_target_ms",
        Whole(1, 600_000),
        "ms",
        Some("990"),
        "Target for the first token.",
    ),
    spec(
        "/policy/token_target_ms",
        Whole(1, 60_000),
        "ms",
        Some("58"),
        "Target for the time between tokens.",
    ),
    spec(
        "/policy/grant_ms",
        Whole(50, 60_000),
        "ms",
        Some("2000"),
        "Length of a grant.",
    ),
    spec(
        "/policy/retry_share",
        Number(0.0, 1.0),
        "retries per request",
        Some("0.1"),
        "Retries allowed as a share of requests, per account and tier.",
    ),
    spec(
        "/policy/retry_burst",
        Whole(0, 10_000),
        "retries",
        Some("10"),
        "Retries that are always allowed, per account and tier.",
    ),
    spec(
        "/policy/key_retention_s",
        Whole(3_601, 2_592_000),
        "s",
        Some("86400"),
        "How long an idempotency key is remembered; above the largest deadline.",
    ),
    spec(
        "/policy/answer_retention_s",
        Whole(1, 2_592_000),
        "s",
        Some("3600"),
        "How long a stored answer is kept; at most `key_retention_s`.",
    ),
    spec(
        "/fleet/stale_settings_limit_s",
        Whole(8, 86_400),
        "s",
        Some("600"),
        "How long a process that is cut off goes on with its settings.",
    ),
    spec(
        "/fleet/watch_limit",
        Whole(1, 10_000),
        "endpoints",
        Some("160"),
        "Largest number of endpoints that an entry watches.",
    ),
    spec(
        "/fleet/weight_store_bytes_per_second",
        Whole(1, MAX_SAFE_INTEGER),
        "bytes/s",
        Some("1073741824"),
        "Rate at which weights may be loaded from the weight store.",
    ),
    spec(
        "/fleet/draining",
        Names(NameKind::Process),
        "agents",
        Some("[]"),
        "Agents whose endpoints are to be drained.",
    ),
    spec(
        "/fleet/operators/{operator}/token_digests",
        Digests,
        "",
        None,
        "Digests of the tokens of an operator of root.",
    ),
    spec(
        "/fleet/delegations/{team}",
        Paths,
        "",
        Some("[]"),
        "Paths outside of a team's subtree that its operators may change as well.",
    ),
    spec(
        "/teams/{team}/operators/{operator}/token_digests",
        Digests,
        "",
        None,
        "Digests of the tokens of an operator of the team.",
    ),
    spec(
        "/teams/{team}/accounts/{account}/token_digests",
        Digests,
        "",
        None,
        "Digests of the account's tokens; two while a token is replaced.",
    ),
    spec(
        "/teams/{team}/accounts/{account}/services",
        Names(NameKind::Service),
        "",
        Some("[]"),
        "Services that the account may use; empty for all.",
    ),
    spec(
        "/teams/{team}/accounts/{account}/tiers",
        Names(NameKind::Tier),
        "",
        Some("[]"),
        "Tiers that the account may use; empty for all.",
    ),
    spec(
        "/teams/{team}/accounts/{account}/weight_millis",
        Whole(1, 1_000_000),
        "thousandths",
        Some("1000"),
        "Share among the accounts of one tier.",
    ),
    spec(
        "/teams/{team}/accounts/{account}/requests_per_second",
        Number(0.001, 1_000_000.0),
        "requests/s",
        Some("none"),
        "Limit of the request rate.",
    ),
    spec(
        "/teams/{team}/accounts/{account}/concurrent_requests",
        Whole(1, 1_000_000),
        "requests",
        Some("none"),
        "Limit of requests at one time.",
    ),
    spec(
        "/teams/{team}/accounts/{account}/tokens_per_second",
        Number(0.001, 1_000_000_000.0),
        "tokens/s",
        Some("none"),
        "Limit of the token rate, prompt and output.",
    ),
    spec(
        "/teams/{team}/services/{service}/kind",
        Choice(&["model", "plain"]),
        "",
        None,
        "Whether engines or plain endpoints serve it.",
    ),
    spec(
        "/teams/{team}/services/{service}/models",
        Names(NameKind::Model),
        "",
        Some("[]"),
        "Models that callers may name; for model services.",
    ),
    spec(
        "/teams/{team}/services/{service}/default_tier",
        Name(NameKind::Tier),
        "",
        None,
        "Tier of a request that names none.",
    ),
    spec(
        "/teams/{team}/services/{service}/idempotent_methods",
        Methods,
        "",
        Some("none"),
        "Methods that may run twice; absent for GET, HEAD, OPTIONS, PUT and DELETE.",
    ),
    spec(
        "/teams/{team}/services/{service}/max_body_bytes",
        Whole(1, 16_777_216),
        "bytes",
        Some("4194304"),
        "Longest request body.",
    ),
    spec(
        "/teams/{team}/roles/{role}/models",
        Names(NameKind::Model),
        "",
        Some("[]"),
        "Models that endpoints of the role should load.",
    ),
    spec(
        "/teams/{team}/roles/{role}/services",
        Names(NameKind::Service),
        "",
        Some("[]"),
        "Plain services that endpoints of the role offer.",
    ),
];
