//! The offer queue of an agent: strict priority between tiers, and start-time fair queueing (SFQ)
//! between the accounts of one tier, with a cost of tokens divided by weight.
//!
//! The head of the queue blocks all offers behind it. Otherwise smaller requests that fit into the
//! remaining capacity would starve a large one; see `docs/design.md`, section 5.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use smol_str::SmolStr;
use waxwing_core::{ids, units};

/// Cost of one token at a weight of one thousandth; scaled up so that integer tags keep precision.
const COST_SCALE: u64 = 1_000_000;

/// Size limit of an offer queue.
#[derive(Debug, Clone)]
pub struct QueueOptions {
    /// Maximum number of waiting offers; 4,096 by default, about 1 MiB at 256 bytes each.
    pub max_offers: usize,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self { max_offers: 4_096 }
    }
}

/// Properties of an offer that determine how it is scheduled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferTerms {
    /// The rank of the tier.
    pub rank: ids::TierRank,
    /// The client account.
    pub account: SmolStr,
    /// Weight of the account among those of its tier, in thousandths; zero counts as one
    /// thousandth.
    pub weight_millis: u32,
    /// Estimated prompt tokens.
    pub prompt_tokens: units::TokenCount,
    /// Expected output tokens.
    pub output_tokens: units::TokenCount,
    /// The deadline, on the clock of this process.
    pub deadline: Instant,
    /// When the request began to wait at the entry, on the clock of this process.
    pub waiting_since: Instant,
}

impl OfferTerms {
    /// Returns the context size of the request when it ends: prompt and output tokens.
    #[must_use]
    pub fn context_tokens(&self) -> units::TokenCount {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns the cost that is charged to the account, scaled by [`COST_SCALE`]. Each request
    /// costs at least one token, so that calls without tokens are shared fairly by their number.
    fn charge(&self) -> u64 {
        let tokens = self.context_tokens().0.max(1);
        tokens.saturating_mul(COST_SCALE) / u64::from(self.weight_millis.max(1))
    }
}

/// An offer in the queue.
#[derive(Debug, Clone)]
pub struct WaitingOffer<T> {
    /// The request.
    pub request: ids::RequestId,
    /// Properties that determine how the offer is scheduled.
    pub terms: OfferTerms,
    /// Data that the owner of the queue stores with the offer.
    pub payload: T,
    sequence: u64,
}

/// Result of adding an offer to the queue.
#[derive(Debug)]
pub enum PushResult<T> {
    /// The offer was added.
    Queued,
    /// The offer was added, and this offer of a lower tier was evicted for it.
    Evicted(WaitingOffer<T>),
    /// The queue is full and holds no offer of a lower tier; the new offer is returned.
    Full(WaitingOffer<T>),
    /// The queue already holds an offer of the request; the new offer is returned.
    Duplicate(WaitingOffer<T>),
}

/// Waiting offers and prompt tokens of one tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankLoad {
    /// Number of waiting offers.
    pub waiting: usize,
    /// Sum of the prompt tokens of the waiting offers.
    pub prompt_tokens: u64,
}

/// Offers of one account in one tier in order of arrival; a flow in the terms of SFQ.
#[derive(Debug, Default)]
struct AccountFlow {
    /// Start tag of the next offer. It is kept after the flow becomes empty until the tier's
    /// virtual time passes it, so that an account can't escape its charges by pausing.
    start_tag: u64,
    offers: BTreeSet<(u64, ids::RequestId)>,
}

/// Offers of one tier, grouped by account.
#[derive(Debug, Default)]
struct TierQueue {
    virtual_time: u64,
    flows: HashMap<SmolStr, AccountFlow>,
    /// Flows with waiting offers in order of service: start tag, sequence number of the flow's
    /// first offer, and account.
    backlogged: BTreeSet<(u64, u64, SmolStr)>,
    /// All offers of the tier in order of arrival.
    arrivals: BTreeSet<(u64, ids::RequestId)>,
    load: RankLoad,
}

impl TierQueue {
    fn service_key(flow: &AccountFlow, account: &SmolStr) -> Option<(u64, u64, SmolStr)> {
        let (sequence, _) = flow.offers.first()?;
        Some((flow.start_tag, *sequence, account.clone()))
    }

    fn update_flow(&mut self, account: &SmolStr, change: impl FnOnce(&mut AccountFlow, u64)) {
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(account.clone()).or_default();
        if let Some(key) = Self::service_key(flow, account) {
            self.backlogged.remove(&key);
        }
        change(flow, virtual_time);
        match Self::service_key(flow, account) {
            Some(key) => {
                self.backlogged.insert(key);
            }
            None if flow.start_tag <= virtual_time => {
                self.flows.remove(account);
            }
            None => {}
        }
    }

    fn insert<T>(&mut self, offer: &WaitingOffer<T>) {
        let arrival = (offer.sequence, offer.request);
        self.update_flow(&offer.terms.account, |flow, virtual_time| {
            if flow.offers.is_empty() {
                flow.start_tag = flow.start_tag.max(virtual_time);
            }
            flow.offers.insert(arrival);
        });
        self.arrivals.insert(arrival);
        self.load.waiting += 1;
        self.load.prompt_tokens += offer.terms.prompt_tokens.0;
    }

    fn remove<T>(&mut self, offer: &WaitingOffer<T>) {
        let arrival = (offer.sequence, offer.request);
        self.update_flow(&offer.terms.account, |flow, _| {
            flow.offers.remove(&arrival);
        });
        self.arrivals.remove(&arrival);
        self.load.waiting -= 1;
        self.load.prompt_tokens -= offer.terms.prompt_tokens.0;
    }

    fn head(&self) -> Option<ids::RequestId> {
        let (_, _, account) = self.backlogged.first()?;
        let (_, request) = self.flows.get(account)?.offers.first()?;
        Some(*request)
    }

    /// Charges the account of an offer that is served, and advances the virtual time to the start
    /// tag of that offer, as start-time fair queueing prescribes.
    fn charge(&mut self, terms: &OfferTerms) {
        let mut start_tag = 0;
        self.update_flow(&terms.account, |flow, _| {
            start_tag = flow.start_tag;
            flow.start_tag = flow.start_tag.saturating_add(terms.charge());
        });
        self.virtual_time = self.virtual_time.max(start_tag);
        self.prune_idle_flows();
    }

    /// Removes empty flows whose start tag has passed once there are many, so that memory use
    /// follows the number of backlogged accounts.
    fn prune_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        if self.flows.len() > 2 * self.backlogged.len() + 64 {
            self.flows
                .retain(|_, flow| !flow.offers.is_empty() || flow.start_tag > virtual_time);
        }
    }

    fn refund(&mut self, terms: &OfferTerms) {
        if !self.flows.contains_key(&terms.account) {
            return;
        }
        self.update_flow(&terms.account, |flow, _| {
            flow.start_tag = flow.start_tag.saturating_sub(terms.charge());
        });
    }
}

/// Queue of the offers from all entries that wait at one agent.
#[derive(Debug)]
pub struct OfferQueue<T> {
    options: QueueOptions,
    tiers: BTreeMap<ids::TierRank, TierQueue>,
    offers: HashMap<ids::RequestId, WaitingOffer<T>>,
    next_sequence: u64,
}

impl<T> OfferQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            tiers: BTreeMap::new(),
            offers: HashMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds an offer. A full queue evicts the newest offer of its lowest tier, or refuses the new
    /// offer if it holds none of a lower tier.
    pub fn push(
        &mut self,
        request: ids::RequestId,
        terms: OfferTerms,
        payload: T,
    ) -> PushResult<T> {
        let offer = WaitingOffer {
            request,
            terms,
            payload,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        if self.offers.contains_key(&request) {
            return PushResult::Duplicate(offer);
        }
        if self.offers.len() < self.options.max_offers {
            self.insert(offer);
            return PushResult::Queued;
        }
        match self.evict_below(offer.terms.rank) {
            Some(evicted) => {
                self.insert(offer);
                PushResult::Evicted(evicted)
            }
            None => PushResult::Full(offer),
        }
    }

    fn insert(&mut self, offer: WaitingOffer<T>) {
        let tier = self.tiers.entry(offer.terms.rank).or_default();
        tier.insert(&offer);
        self.offers.insert(offer.request, offer);
    }

    fn evict_below(&mut self, rank: ids::TierRank) -> Option<WaitingOffer<T>> {
        let mut lower = self.tiers.range(rank..).rev();
        let (lowest, tier) = lower.find(|(_, tier)| tier.load.waiting > 0)?;
        if *lowest == rank {
            return None;
        }
        let (_, request) = *tier.arrivals.last()?;
        self.remove(request)
    }

    /// Removes an offer without charging its account.
    pub fn remove(&mut self, request: ids::RequestId) -> Option<WaitingOffer<T>> {
        let offer = self.offers.remove(&request)?;
        if let Some(tier) = self.tiers.get_mut(&offer.terms.rank) {
            tier.remove(&offer);
        }
        Some(offer)
    }

    /// Returns the offer that is served next: the one with the lowest start tag in the highest tier
    /// with waiting offers.
    #[must_use]
    pub fn head(&self) -> Option<&WaitingOffer<T>> {
        let request = self.tiers.values().find_map(TierQueue::head)?;
        self.offers.get(&request)
    }

    /// Removes the head of the queue and charges its account.
    pub fn take_head(&mut self) -> Option<WaitingOffer<T>> {
        let request = self.head()?.request;
        let terms = self.offers.get(&request)?.terms.clone();
        if let Some(tier) = self.tiers.get_mut(&terms.rank) {
            tier.charge(&terms);
        }
        self.remove(request)
    }

    /// Refunds the charge of an offer that was taken from the queue but whose grant was not used.
    pub fn refund(&mut self, terms: &OfferTerms) {
        if let Some(tier) = self.tiers.get_mut(&terms.rank) {
            tier.refund(terms);
        }
    }

    /// Removes every offer that matches `predicate`, and returns them in order of arrival.
    pub fn remove_where(
        &mut self,
        predicate: impl Fn(&WaitingOffer<T>) -> bool,
    ) -> Vec<WaitingOffer<T>> {
        let waiting = self.offers.values();
        let mut requests: Vec<_> = waiting
            .filter(|offer| predicate(offer))
            .map(|offer| (offer.sequence, offer.request))
            .collect();
        requests.sort_unstable();
        let requests = requests.into_iter();
        requests
            .filter_map(|(_, request)| self.remove(request))
            .collect()
    }

    /// Returns the waiting offer of a request.
    #[must_use]
    pub fn get(&self, request: ids::RequestId) -> Option<&WaitingOffer<T>> {
        self.offers.get(&request)
    }

    /// Returns the waiting offers in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingOffer<T>> + '_ {
        self.offers.values()
    }

    /// Returns the load of each tier with waiting offers, highest tier first.
    pub fn loads(&self) -> impl Iterator<Item = (ids::TierRank, RankLoad)> + '_ {
        let tiers = self.tiers.iter();
        tiers
            .filter(|(_, tier)| tier.load.waiting > 0)
            .map(|(rank, tier)| (*rank, tier.load))
    }

    /// Returns the prompt tokens of waiting offers in tiers above `rank`.
    #[must_use]
    pub fn tokens_above(&self, rank: ids::TierRank) -> units::TokenCount {
        let above = self.tiers.range(..rank);
        units::TokenCount(above.map(|(_, tier)| tier.load.prompt_tokens).sum())
    }

    /// Returns the number of waiting offers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.offers.len()
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }
}
