//! The offer queue of an agent: strict priority by tier rank, and start-time fair queueing by
//! token cost over weight among the accounts of one tier.
//!
//! The head of the queue blocks everything behind it. A large request at the head would otherwise
//! wait for ever behind small ones that fit into the gaps; see `docs/design.md`, section 5.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use smol_str::SmolStr;
use waxwing_core::{ids, units};

/// Cost units of one token at a weight of one thousandth, so that integer tags keep precision.
const COST_SCALE: u64 = 1_000_000;

/// `QueueOptions` bound the offers that wait at one agent.
#[derive(Debug, Clone)]
pub struct QueueOptions {
    /// Offers that may wait; 4,096, about 1 MiB at 256 bytes each.
    pub max_offers: usize,
}

impl Default for QueueOptions {
    fn default() -> Self {
        Self { max_offers: 4_096 }
    }
}

/// `OfferTerms` are the parts of an offer that decide its place in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OfferTerms {
    /// The rank of the tier.
    pub rank: ids::TierRank,
    /// The client account.
    pub account: SmolStr,
    /// The share of the account inside the tier, in thousandths; zero counts as one.
    pub weight_millis: u32,
    /// Estimated prompt tokens.
    pub prompt_tokens: units::TokenCount,
    /// Expected output tokens.
    pub output_tokens: units::TokenCount,
    /// The deadline by the clock of this process.
    pub deadline: Instant,
    /// When the request began to wait, at the entry, by the clock of this process.
    pub waiting_since: Instant,
}

impl OfferTerms {
    /// Returns the context that the request needs at its end.
    #[must_use]
    pub fn context_tokens(&self) -> units::TokenCount {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns the charge to the account in scaled cost units. Each request costs at least one
    /// token, so that plain calls are shared fairly by number.
    fn charge(&self) -> u64 {
        let tokens = self.context_tokens().0.max(1);
        tokens.saturating_mul(COST_SCALE) / u64::from(self.weight_millis.max(1))
    }
}

/// A `WaitingOffer` is one offer in the queue.
#[derive(Debug, Clone)]
pub struct WaitingOffer<T> {
    /// The request.
    pub request: ids::RequestId,
    /// What decides its place.
    pub terms: OfferTerms,
    /// What the owner of the queue keeps with it.
    pub payload: T,
    sequence: u64,
}

/// A `PushResult` tells what a new offer did to the queue.
#[derive(Debug)]
pub enum PushResult<T> {
    /// The offer waits.
    Queued,
    /// The offer waits, and this one of a lower tier was evicted for it.
    Evicted(WaitingOffer<T>),
    /// The queue is full of offers of this tier or above; the new offer is given back.
    Full(WaitingOffer<T>),
    /// An offer of the request waits already; the new one is given back.
    Duplicate(WaitingOffer<T>),
}

/// A `RankLoad` is the waiting work of one tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankLoad {
    /// Offers that wait.
    pub waiting: usize,
    /// Prompt tokens that wait.
    pub prompt_tokens: u64,
}

/// An `AccountLane` holds the offers of one account in one tier, in order of arrival.
#[derive(Debug, Default)]
struct AccountLane {
    /// The start tag of the next offer; kept after the lane is empty until the tier's virtual
    /// time passes it, so that an account can't shed its debt by pausing.
    start: u64,
    offers: BTreeSet<(u64, ids::RequestId)>,
}

/// A `TierQueue` holds the offers of one tier.
#[derive(Debug, Default)]
struct TierQueue {
    virtual_time: u64,
    lanes: HashMap<SmolStr, AccountLane>,
    /// Start tag, arrival number of the lane's first offer, and account, of each busy lane.
    order: BTreeSet<(u64, u64, SmolStr)>,
    newest: BTreeSet<(u64, ids::RequestId)>,
    load: RankLoad,
}

impl TierQueue {
    fn key(lane: &AccountLane, account: &SmolStr) -> Option<(u64, u64, SmolStr)> {
        let (sequence, _) = lane.offers.first()?;
        Some((lane.start, *sequence, account.clone()))
    }

    fn update(&mut self, account: &SmolStr, change: impl FnOnce(&mut AccountLane, u64)) {
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(account.clone()).or_default();
        if let Some(key) = Self::key(lane, account) {
            self.order.remove(&key);
        }
        change(lane, virtual_time);
        match Self::key(lane, account) {
            Some(key) => {
                self.order.insert(key);
            }
            None if lane.start <= virtual_time => {
                self.lanes.remove(account);
            }
            None => {}
        }
    }

    fn insert<T>(&mut self, offer: &WaitingOffer<T>) {
        let place = (offer.sequence, offer.request);
        self.update(&offer.terms.account, |lane, virtual_time| {
            if lane.offers.is_empty() {
                lane.start = lane.start.max(virtual_time);
            }
            lane.offers.insert(place);
        });
        self.newest.insert(place);
        self.load.waiting += 1;
        self.load.prompt_tokens += offer.terms.prompt_tokens.0;
    }

    fn remove<T>(&mut self, offer: &WaitingOffer<T>) {
        let place = (offer.sequence, offer.request);
        self.update(&offer.terms.account, |lane, _| {
            lane.offers.remove(&place);
        });
        self.newest.remove(&place);
        self.load.waiting -= 1;
        self.load.prompt_tokens -= offer.terms.prompt_tokens.0;
    }

    fn head(&self) -> Option<ids::RequestId> {
        let (_, _, account) = self.order.first()?;
        let (_, request) = self.lanes.get(account)?.offers.first()?;
        Some(*request)
    }

    /// Charges the account. The virtual time follows the start tag of the offer in service, the
    /// rule of start-time fair queueing.
    fn charge(&mut self, terms: &OfferTerms) {
        let mut start = 0;
        self.update(&terms.account, |lane, _| {
            start = lane.start;
            lane.start = lane.start.saturating_add(terms.charge());
        });
        self.virtual_time = self.virtual_time.max(start);
        self.forget_idle();
    }

    /// Drops idle lanes without debt once there are many, so that memory follows busy accounts.
    fn forget_idle(&mut self) {
        let virtual_time = self.virtual_time;
        if self.lanes.len() > 2 * self.order.len() + 64 {
            self.lanes
                .retain(|_, lane| !lane.offers.is_empty() || lane.start > virtual_time);
        }
    }

    fn refund(&mut self, terms: &OfferTerms) {
        if !self.lanes.contains_key(&terms.account) {
            return;
        }
        self.update(&terms.account, |lane, _| {
            lane.start = lane.start.saturating_sub(terms.charge());
        });
    }
}

/// An `OfferQueue` orders the offers of all entries that wait at one agent.
#[derive(Debug)]
pub struct OfferQueue<T> {
    options: QueueOptions,
    tiers: BTreeMap<ids::TierRank, TierQueue>,
    offers: HashMap<ids::RequestId, WaitingOffer<T>>,
    next_sequence: u64,
}

impl<T> OfferQueue<T> {
    /// Builds an empty queue.
    #[must_use]
    pub fn new(options: QueueOptions) -> Self {
        Self {
            options,
            tiers: BTreeMap::new(),
            offers: HashMap::new(),
            next_sequence: 0,
        }
    }

    /// Adds an offer. A full queue evicts the newest offer of the lowest tier, and refuses the new
    /// offer if no lower tier waits.
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
        let (_, request) = *tier.newest.last()?;
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

    /// Returns the offer that is served next: of the highest tier that waits, the one with the
    /// lowest start tag.
    #[must_use]
    pub fn head(&self) -> Option<&WaitingOffer<T>> {
        let request = self.tiers.values().find_map(TierQueue::head)?;
        self.offers.get(&request)
    }

    /// Removes the head and charges its account.
    pub fn take_head(&mut self) -> Option<WaitingOffer<T>> {
        let request = self.head()?.request;
        let terms = self.offers.get(&request)?.terms.clone();
        if let Some(tier) = self.tiers.get_mut(&terms.rank) {
            tier.charge(&terms);
        }
        self.remove(request)
    }

    /// Gives the charge of a taken offer back, since its grant was not used.
    pub fn refund(&mut self, terms: &OfferTerms) {
        if let Some(tier) = self.tiers.get_mut(&terms.rank) {
            tier.refund(terms);
        }
    }

    /// Removes every offer for which `leaves` is true.
    pub fn remove_where(
        &mut self,
        leaves: impl Fn(&WaitingOffer<T>) -> bool,
    ) -> Vec<WaitingOffer<T>> {
        let waiting = self.offers.values();
        let mut requests: Vec<_> = waiting
            .filter(|offer| leaves(offer))
            .map(|offer| (offer.sequence, offer.request))
            .collect();
        requests.sort_unstable();
        let requests = requests.into_iter();
        requests
            .filter_map(|(_, request)| self.remove(request))
            .collect()
    }

    /// Finds a waiting offer.
    #[must_use]
    pub fn get(&self, request: ids::RequestId) -> Option<&WaitingOffer<T>> {
        self.offers.get(&request)
    }

    /// Returns the waiting offers in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingOffer<T>> + '_ {
        self.offers.values()
    }

    /// Returns the waiting work of each tier that has some, highest tier first.
    pub fn loads(&self) -> impl Iterator<Item = (ids::TierRank, RankLoad)> + '_ {
        let tiers = self.tiers.iter();
        tiers
            .filter(|(_, tier)| tier.load.waiting > 0)
            .map(|(rank, tier)| (*rank, tier.load))
    }

    /// Returns the prompt tokens that wait in tiers above `rank`.
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

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.offers.is_empty()
    }
}
