//! Tuning options of the gate and their defaults.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use waxwing_core::units;
use waxwing_settings::view;

/// Limits, timeouts and weights of a gate.
#[derive(Debug, Clone)]
pub struct GateOptions {
    /// Address at which other entries connect to this one and by which they identify it.
    pub address: SocketAddr,
    /// Data centre of this entry.
    pub data_centre: smol_str::SmolStr,
    /// How endpoints are selected. All policies but late binding are baselines for measurement:
    /// they send each request at once, whether a slot is free or not.
    pub routing: view::RoutingPolicy,
    /// Seed of the baselines that select endpoints at random.
    pub routing_seed: u64,
    /// Added to the expected time of an endpoint in another data centre. Traffic between data
    /// centres is charged, so a near endpoint is preferred where that costs callers nothing.
    pub distance_penalty: Duration,
    /// How much later a request may begin for staying in its data centre while that has room, as a
    /// share of its latency objective. Zero: all data centres are one pool.
    pub leaving_price: units::ObjectiveShare,
    /// Slowdown by batching: how much later the first event of a request comes at an endpoint whose
    /// slots are all taken than at an idle one.
    pub contention_penalty: Duration,
    /// Safety factor on the expected run time when it is compared with the time left to the
    /// deadline; the expected answer length is a median, which longer answers exceed.
    pub run_time_margin: f64,
    /// Share of its expected run time by which a request is queued as if it had arrived later, so
    /// that short runs of a tier start before long ones while slots are scarce.
    pub short_run_bias: f64,
    /// Weight of the expected run time against the time to the first event in the score of an
    /// endpoint; a run that ends sooner frees its slot sooner.
    pub run_weight: f64,
    /// Expected time of a plain call before the first measurement.
    pub initial_call_time: Duration,
    /// Weight of the newest sample in exponentially weighted moving averages.
    pub smoothing: f64,
    /// Time without a notice or an answer after which an endpoint is no longer used. Endpoints send
    /// a notice every 1.2 s, which may arrive seconds late.
    pub liveness_timeout: Duration,
    /// Time for which an endpoint is ejected after a failure; doubled with each further one.
    pub ejection_time: Duration,
    /// Longest time for which an endpoint is ejected.
    pub max_ejection_time: Duration,
    /// Longest wait of a request that was refused before, as a share of its caller's remaining
    /// time.
    pub returned_patience: f64,
    /// Upper bound of that wait, in latency objectives; callers give up a stream after four of
    /// them.
    pub returned_objectives: f64,
    /// Longest wait of a generation that is retried or resumed; callers give up a stream after a
    /// pause of two seconds or more.
    pub resumed_patience: Duration,
    /// Added to the score of an endpoint that fails all its requests; one that fails a part of them
    /// gets that part of it.
    pub failure_penalty: Duration,
    /// Consecutive failures after which an endpoint is ejected. A single failure says little:
    /// endpoints fail a part of their requests.
    pub ejection_failures: u32,
    /// Pause before a request goes back to an endpoint that failed or refused it, if no other one is
    /// usable; some run times of a plain call.
    pub go_back_pause: Duration,
    /// Longest wait of a new request, as a share of its latency objective.
    pub new_request_patience: f64,
    /// Share of its patience for which a new request waits for an endpoint at which it can meet its
    /// objective, while the free ones would begin its answer too late.
    pub objective_wait_share: f64,
    /// Longest wait of a plain call, as a share of the time to its deadline.
    pub call_patience: f64,
    /// Shortest retry delay that refused callers are given.
    pub min_retry_after: Duration,
    /// Longest retry delay, as a share of the caller's remaining time; callers honour delays up to
    /// a third of it.
    pub retry_after_share: f64,
    /// Part of that delay over which callers are spread, so that they don't return together.
    pub retry_after_spread: f64,
    /// Retries allowed for each request to a service within `budget_window`.
    pub retry_ratio: f64,
    /// Retries that all entries together are allowed beyond the ratio within `budget_window`.
    pub retry_extra: f64,
    /// Sliding window of the retry budget.
    pub budget_window: Duration,
    /// Time for which the demand reported by another entry is taken as current; several intervals
    /// between updates.
    pub demand_lifetime: Duration,
    /// Requests that an endpoint may hold beyond its slots, so that no slot stays empty while the
    /// next request is on its way.
    pub endpoint_queue_depth: u32,
    /// Shortest mean run time of a service for which the usage reported by other entries is relied
    /// on. Shorter runs have ended before the others learn of them; their endpoints queue instead.
    pub min_run_for_peer_usage: Duration,
    /// Queue that an endpoint of short calls may report before this entry lowers its call limit
    /// there, as a share of the slots; at 0.5, calls wait for half a run.
    pub max_queue_share: f64,
    /// Factor by which the call limit is then multiplied.
    pub limit_decrease: f64,
    /// Calls by which the limit grows again over as many answers as there are calls in flight.
    pub limit_increase: f64,
    /// Longest time for which free slots are left to other entries that don't take them; multiplied
    /// by the number of connected ones.
    pub max_yield_time: Duration,
    /// Time for which an entry whose connection was lost counts as running.
    pub lost_peer_retention: Duration,
    /// Units that all entries together may admit beyond a quota, to allow for the lag of their
    /// updates.
    pub quota_slack: f64,
}

impl Default for GateOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            data_centre: smol_str::SmolStr::default(),
            routing: view::RoutingPolicy::LateBinding,
            routing_seed: 0,
            distance_penalty: Duration::from_millis(4),
            leaving_price: units::ObjectiveShare::default(),
            contention_penalty: Duration::from_millis(120),
            run_time_margin: 1.4,
            short_run_bias: 0.3,
            run_weight: 0.02,
            initial_call_time: Duration::from_millis(40),
            smoothing: 0.2,
            liveness_timeout: Duration::from_secs(5),
            ejection_time: Duration::from_millis(600),
            max_ejection_time: Duration::from_secs(4),
            returned_patience: 0.25,
            returned_objectives: 0.3,
            resumed_patience: Duration::from_millis(1_600),
            failure_penalty: Duration::from_secs(2),
            ejection_failures: 3,
            go_back_pause: Duration::from_millis(100),
            new_request_patience: 1.0,
            objective_wait_share: 0.5,
            call_patience: 0.5,
            min_retry_after: Duration::from_millis(300),
            retry_after_share: 0.33,
            retry_after_spread: 0.4,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            budget_window: Duration::from_secs(10),
            demand_lifetime: Duration::from_millis(500),
            endpoint_queue_depth: 1,
            min_run_for_peer_usage: Duration::from_millis(150),
            max_queue_share: 0.5,
            limit_decrease: 0.7,
            limit_increase: 0.5,
            max_yield_time: Duration::from_millis(60),
            lost_peer_retention: Duration::from_secs(20),
            quota_slack: 0.0,
        }
    }
}
