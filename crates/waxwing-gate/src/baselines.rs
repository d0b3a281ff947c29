//! Baseline policies that the gate is compared with: the policies of `waxwing-policy`, applied to
//! what this entry knows of the endpoints. `docs/MEASUREMENTS.md` has the figures.

use std::{sync::Arc, time::Duration};

use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use waxwing_core::{ids, units};
use waxwing_policy::choice;
use waxwing_settings::view;

use crate::{endpoints, tickets};

/// Selects endpoints by a baseline policy, regardless of free slots.
#[derive(Debug)]
pub struct BaselineChoice {
    routing: view::RoutingPolicy,
    seed: u64,
    policies: choice::PolicyTable,
}

impl BaselineChoice {
    /// Builds the selection; `None` for late binding, which is no baseline. `seed` seeds the
    /// policies that select at random.
    #[must_use]
    pub fn new(routing: view::RoutingPolicy, seed: u64) -> Option<Self> {
        (routing != view::RoutingPolicy::LateBinding).then(|| Self {
            routing,
            seed,
            policies: choice::PolicyTable::default(),
        })
    }

    /// Returns the endpoint for a request among the candidates.
    pub fn choose<'a>(
        &self,
        candidates: impl Iterator<Item = &'a endpoints::EndpointView>,
        id: tickets::TicketId,
    ) -> Option<&'a endpoints::EndpointView> {
        let mut views: Vec<_> = candidates.collect();
        // Round robin relies on a stable order across requests.
        views.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        let loads: Vec<_> = (0..).zip(&views).map(|(id, view)| load(id, view)).collect();
        let random = ChaCha8Rng::seed_from_u64(self.seed.wrapping_add(id.0));
        let policies = &self.policies;
        let index = match self.routing {
            view::RoutingPolicy::Random => pick(&policies.random, &loads, random),
            view::RoutingPolicy::RoundRobin => pick(&policies.round_robin, &loads, random),
            view::RoutingPolicy::LeastReported => pick(&policies.least_reported, &loads, random),
            view::RoutingPolicy::TwoChoices => pick(&policies.two_choices, &loads, random),
            view::RoutingPolicy::LateBinding => pick(&policies.late_binding, &loads, random),
        }?;
        views.get(index).copied()
    }
}

fn load(id: u32, view: &endpoints::EndpointView) -> Arc<choice::EndpointLoad> {
    let rate = units::TokenRate::default();
    let load = choice::EndpointLoad::new(choice::EndpointId(id), Duration::ZERO, rate);
    load.update(&choice::LoadSample {
        reported_requests: view.reported_load,
        ..choice::LoadSample::default()
    });
    Arc::new(load)
}

fn pick<P: choice::EndpointPolicy>(
    policy: &P,
    loads: &[Arc<choice::EndpointLoad>],
    mut random: ChaCha8Rng,
) -> Option<usize> {
    let demand = choice::ChoiceDemand {
        rank: ids::TierRank::default(),
        prompt: units::TokenCount::default(),
        affinity: &[],
        excluded: &[],
        count: 1,
    };
    let mut picks = Vec::with_capacity(1);
    policy.choose(&demand, loads, &mut random, &mut picks);
    let picked = picks.first()?;
    usize::try_from(picked.0).ok()
}
