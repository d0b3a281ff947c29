//! The roll-outs that the replicated log holds: which orders were accepted, and the steps of each
//! one. All replicas apply the same changes in the same order.

use std::{collections::BTreeMap, time::Duration};

use prost::Message;
use smol_str::SmolStr;
use waxwing_wire::messages;

use crate::errors;

/// The number of services whose last roll-out is kept. It exceeds the services of the largest
/// deployment; roll-outs that have ended are forgotten first.
pub const MAX_RECORDS: usize = 1_024;

/// The shortest period of an order. A verdict needs some exchanges with the entries.
pub const MIN_PERIOD: Duration = Duration::from_secs(1);

/// The longest period of an order.
pub const MAX_PERIOD: Duration = Duration::from_secs(7 * 24 * 60 * 60);

/// The longest name of a version in bytes.
pub const MAX_VERSION_BYTES: usize = 256;

/// Time for which the same order counts as a repetition of one whose answer was lost, also if the
/// roll-out has ended. Operators repeat an order for some seconds only.
const REPEAT_WINDOW: Duration = Duration::from_secs(10);

/// An operator's order to move a service to another version.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutOrder {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The new version.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Milliseconds from the order to its deadline.
    #[prost(uint64, tag = "3")]
    pub period_millis: u64,
    /// When the leader received the order, in Unix milliseconds.
    #[prost(uint64, tag = "4")]
    pub ordered_millis: u64,
}

impl RolloutOrder {
    /// Checks the values of an order.
    ///
    /// # Errors
    /// Fails if the period or the length of the version is not allowed.
    pub fn check(&self) -> Result<(), errors::OrderError> {
        let found = Duration::from_millis(self.period_millis);
        if !(MIN_PERIOD..=MAX_PERIOD).contains(&found) {
            return Err(errors::OrderError::Period {
                found,
                least: MIN_PERIOD,
                most: MAX_PERIOD,
            });
        }
        let found = self.target.len();
        if !(1..=MAX_VERSION_BYTES).contains(&found) {
            return Err(errors::OrderError::Version {
                found,
                allowed: MAX_VERSION_BYTES,
            });
        }
        Ok(())
    }
}

/// A step of a roll-out that the leader has decided.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutStep {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The number of the order. A step of another order has no effect.
    #[prost(uint64, tag = "2")]
    pub order: u64,
    /// The phase after the step.
    #[prost(enumeration = "messages::RolloutPhase", tag = "3")]
    pub phase: i32,
    /// Why it was decided.
    #[prost(string, tag = "4")]
    pub reason: String,
    /// The versions that are replaced by it, if it completes the roll-out.
    #[prost(string, repeated, tag = "5")]
    pub replaced: Vec<String>,
}

/// A change of roll-outs in the log. The numbers of its fields differ from those of the other
/// commands of the log.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutChange {
    /// A new order.
    #[prost(message, optional, tag = "4")]
    pub order: Option<RolloutOrder>,
    /// A step of an order.
    #[prost(message, optional, tag = "5")]
    pub step: Option<RolloutStep>,
}

/// The last roll-out of a service.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RolloutRecord {
    /// What was ordered.
    #[prost(message, required, tag = "1")]
    pub order: RolloutOrder,
    /// The number of the order, which grows with each order of any service.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// How far the roll-out has come.
    #[prost(enumeration = "messages::RolloutPhase", tag = "3")]
    pub phase: i32,
    /// Whether the new version has passed its test.
    #[prost(bool, tag = "4")]
    pub promoted: bool,
    /// Why the last step was decided.
    #[prost(string, tag = "5")]
    pub reason: String,
    /// The versions that a completed roll-out has replaced.
    #[prost(string, repeated, tag = "6")]
    pub replaced: Vec<String>,
}

impl RolloutRecord {
    /// Returns whether the roll-out has not ended.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.phase() == messages::RolloutPhase::Active
    }
}

/// The roll-outs as snapshots of the log store them.
#[derive(Clone, PartialEq, Eq, Message)]
struct LedgerSnapshot {
    #[prost(uint64, tag = "6")]
    revision: u64,
    #[prost(message, repeated, tag = "7")]
    records: Vec<RolloutRecord>,
}

/// How an order relates to the state of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRelation {
    /// It starts a roll-out.
    New,
    /// It repeats the last accepted order, whose answer may have been lost.
    Repeated,
}

/// The last roll-out of each service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutLedger {
    revision: u64,
    records: BTreeMap<SmolStr, RolloutRecord>,
}

impl RolloutLedger {
    /// Returns the number of changes that were applied.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the last roll-out of a service.
    #[must_use]
    pub fn record(&self, service: &str) -> Option<&RolloutRecord> {
        self.records.get(service)
    }

    /// Returns the last roll-outs of all services, by service.
    pub fn records(&self) -> impl Iterator<Item = (&SmolStr, &RolloutRecord)> {
        self.records.iter()
    }

    /// Returns whether a roll-out has not ended.
    #[must_use]
    pub fn has_active(&self) -> bool {
        self.records.values().any(RolloutRecord::is_active)
    }

    /// Tells how an order relates to the state of its service.
    ///
    /// # Errors
    /// Fails if the order contradicts that state.
    pub fn relate(&self, order: &RolloutOrder) -> Result<OrderRelation, errors::OrderError> {
        let Some(record) = self.records.get(order.service.as_str()) else {
            return match self.is_full() {
                true => Err(errors::OrderError::TooMany(MAX_RECORDS)),
                false => Ok(OrderRelation::New),
            };
        };
        let last = &record.order;
        let repeats = last.target == order.target && last.period_millis == order.period_millis;
        let passed = order.ordered_millis.saturating_sub(last.ordered_millis);
        let is_recent = Duration::from_millis(passed) < REPEAT_WINDOW;
        let service = || SmolStr::new(&order.service);
        let target = || SmolStr::new(&last.target);
        match record.phase() {
            messages::RolloutPhase::Active if repeats => Ok(OrderRelation::Repeated),
            messages::RolloutPhase::Active => Err(errors::OrderError::InProgress {
                service: service(),
                target: target(),
            }),
            _ if repeats && is_recent => Ok(OrderRelation::Repeated),
            messages::RolloutPhase::Completed if last.target == order.target => {
                Err(errors::OrderError::CurrentVersion {
                    service: service(),
                    target: target(),
                })
            }
            _ => Ok(OrderRelation::New),
        }
    }

    fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS && self.records.values().all(RolloutRecord::is_active)
    }

    /// Applies a committed change. An order that contradicts the state, for example because another
    /// operator's was committed just before, has no effect, and neither has a step of an order that
    /// has ended.
    pub fn apply(&mut self, change: &RolloutChange) {
        self.revision += 1;
        if let Some(order) = &change.order
            && self.relate(order) == Ok(OrderRelation::New)
        {
            self.insert(order);
        }
        if let Some(step) = &change.step {
            self.take_step(step);
        }
    }

    fn insert(&mut self, order: &RolloutOrder) {
        if self.records.len() >= MAX_RECORDS {
            let ended = self
                .records
                .iter()
                .filter(|(_, record)| !record.is_active());
            let oldest = ended.min_by_key(|(_, record)| record.number);
            if let Some(service) = oldest.map(|(service, _)| service.clone()) {
                self.records.remove(&service);
            }
        }
        let record = RolloutRecord {
            order: order.clone(),
            number: self.revision,
            phase: messages::RolloutPhase::Active.into(),
            promoted: false,
            reason: "ordered".to_owned(),
            replaced: Vec::new(),
        };
        self.records.insert(SmolStr::new(&order.service), record);
    }

    fn take_step(&mut self, step: &RolloutStep) {
        let record = self.records.get_mut(step.service.as_str());
        let Some(record) = record.filter(|record| record.number == step.order) else {
            return;
        };
        if !record.is_active() {
            return;
        }
        record.promoted = true;
        record.phase = step.phase;
        record.reason.clone_from(&step.reason);
        record.replaced.clone_from(&step.replaced);
    }

    /// Encodes the ledger for a snapshot of the log.
    #[must_use]
    pub fn to_snapshot(&self) -> Vec<u8> {
        let snapshot = LedgerSnapshot {
            revision: self.revision,
            records: self.records.values().cloned().collect(),
        };
        snapshot.encode_to_vec()
    }

    /// Decodes the ledger from a snapshot, which may hold the fields of other states too.
    ///
    /// # Errors
    /// Fails if the bytes are malformed.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, prost::DecodeError> {
        let snapshot = LedgerSnapshot::decode(bytes)?;
        let records = snapshot.records.into_iter();
        Ok(Self {
            revision: snapshot.revision,
            records: records
                .map(|record| (SmolStr::new(&record.order.service), record))
                .collect(),
        })
    }
}
