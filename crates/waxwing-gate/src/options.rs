//! Options of the gate with their defaults.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use waxwing_settings::view;

/// A `GateOptions` is the set of bounds and weights of a gate.
#[derive(Debug, Clone)]
pub struct GateOptions {
    /// Where other entries reach this one; they know it by that.
    pub address: SocketAddr,
    /// The data centre of the entry.
    pub data_centre: smol_str::SmolStr,
    /// How endpoints are picked. All but late binding are baselines for measurement: they send
    /// each request at once, whether a slot is free or not.
    pub routing: view::RoutingPolicy,
    /// The seed of the baselines that draw endpoints.
    pub routing_seed: u64,
    /// Added to the expected time of an endpoint in another data centre; the bytes between data
    /// centres are paid for, so a near endpoint is preferred where it costs callers nothing.
    pub distance_penalty: Duration,
    /// Expected slowdown of a full batch for its members: how much later the first event of a
    /// request comes at an endpoint whose slots are all taken than at an idle one.
    pub crowding_penalty: Duration,
    /// Time by which an expected run may exceed the time that is left, as a factor: the expected
    /// length of an answer is right at the median only.
    pub length_margin: f64,
    /// The part of its expected run by which a request seems to have arrived later, so that short
    /// runs of a tier start before long ones while slots are scarce.
    pub short_first: f64,
    /// Weight of the expected time of a whole run against that of its first event in the choice
    /// of an endpoint; a run that ends sooner frees its slot sooner.
    pub run_weight: f64,
    /// Time that a plain call is expected to take before it was measured.
    pub initial_call_time: Duration,
    /// Weight of the newest measurement in a moving average.
    pub smoothing: f64,
    /// The longest time without a notice for which an endpoint is used; endpoints send one every
    /// 1.2 s, which may come seconds late.
    pub silence_limit: Duration,
    /// Time for which an endpoint is left alone after a failure; doubled with each further one.
    pub suspicion: Duration,
    /// The longest time for which an endpoint is left alone.
    pub max_suspicion: Duration,
    /// The share of a caller's remaining time for which a request that was refused before waits.
    pub returned_patience: f64,
    /// The latency objectives for which such a request waits at most: callers give a stream up
    /// after four of them.
    pub returned_objectives: f64,
    /// The time for which a stream that goes on elsewhere waits at most; callers give a stream up
    /// after a pause of two seconds and more.
    pub resumed_patience: Duration,
    /// Time by which an endpoint that fails all its requests seems slower than it is; one that
    /// fails a part of them seems slower by that part of it.
    pub failure_penalty: Duration,
    /// Consecutive failures after which an endpoint is left alone. A single failed answer says
    /// little: endpoints fail a part of their requests.
    pub suspicious_failures: u32,
    /// The share of the latency objective for which a new request waits at most.
    pub fresh_patience: f64,
    /// The share of its patience for which a new request waits for an endpoint at which it can begin
    /// in time, while it could only begin too late at those that are free.
    pub matching_share: f64,
    /// The share of a plain call's deadline for which it waits.
    pub call_patience: f64,
    /// The shortest time after which a refused caller is asked to come back.
    pub min_retry_after: Duration,
    /// The share of the remaining time up to which callers wait when they are asked to; a third
    /// of it is what they honour.
    pub retry_after_share: f64,
    /// The part of that time over which callers are spread, so that they don't return together.
    pub retry_after_spread: f64,
    /// Repeats allowed for each request to a service in `budget_window`.
    pub retry_ratio: f64,
    /// Repeats allowed beyond the ratio in `budget_window`, for all entries together.
    pub retry_extra: f64,
    /// The window of the retry budget.
    pub budget_window: Duration,
    /// Time for which the demand that another entry told is taken as its present one; some
    /// intervals between books.
    pub demand_lifetime: Duration,
    /// Requests beyond its slots that an endpoint may hold, so that no slot stays empty while the
    /// next request is on its way.
    pub waiting_at_door: u32,
    /// The shortest mean run of a service for which books tell what runs elsewhere. Shorter runs
    /// have ended before the other entries hear of them; their endpoints queue instead.
    pub shortest_counted_run: Duration,
    /// The queue that an endpoint of short calls may tell before an entry sends fewer of them at
    /// once, as a part of its slots; half a run's time of waiting.
    pub queue_share: f64,
    /// The factor by which an entry then lowers the calls that it sends there at once.
    pub limit_cut: f64,
    /// The calls by which that rises again while as many are answered as are under way.
    pub limit_step: f64,
    /// The longest time for which free slots are left to other entries, should they not take them.
    pub yield_limit: Duration,
    /// Time for which an entry whose link was lost counts as one that may be running.
    pub lost_peer_retention: Duration,
    /// Units beyond a quota that all entries together may admit, for what their books lag.
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
            crowding_penalty: Duration::from_millis(120),
            length_margin: 1.4,
            short_first: 0.3,
            run_weight: 0.02,
            initial_call_time: Duration::from_millis(40),
            smoothing: 0.2,
            silence_limit: Duration::from_secs(5),
            suspicion: Duration::from_millis(600),
            max_suspicion: Duration::from_secs(4),
            returned_patience: 0.25,
            returned_objectives: 0.3,
            resumed_patience: Duration::from_millis(1_600),
            failure_penalty: Duration::from_secs(2),
            suspicious_failures: 3,
            fresh_patience: 1.0,
            matching_share: 0.5,
            call_patience: 0.5,
            min_retry_after: Duration::from_millis(300),
            retry_after_share: 0.33,
            retry_after_spread: 0.4,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            budget_window: Duration::from_secs(10),
            demand_lifetime: Duration::from_millis(500),
            waiting_at_door: 1,
            shortest_counted_run: Duration::from_millis(150),
            queue_share: 0.5,
            limit_cut: 0.7,
            limit_step: 0.5,
            yield_limit: Duration::from_millis(60),
            lost_peer_retention: Duration::from_secs(20),
            quota_slack: 0.0,
        }
    }
}
