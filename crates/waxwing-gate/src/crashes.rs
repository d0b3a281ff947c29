//! Which prompt parts crash endpoints, and which requests are therefore not sent.
//!
//! Some input crashes every engine that begins to answer it. Each crash ends all other requests at
//! the endpoint, and callers and retries carry the input to the next one. The ledger finds the part
//! of the prompt that crashed requests have in common:
//!
//! - Evidence is a request whose answer had begun and had no event yet when its endpoint crashed.
//!   All its parts but the last one, which no other request shares, are suspects. Endpoints that
//!   only reset connections, are cut off or drain give no evidence.
//! - A part of a request whose answer gets an event is sound, since the crash doesn't depend on the
//!   rest of the request. All evidence against it is dropped.
//! - Crashes at nearly the same time count once, since they may have one outside cause.
//! - A part is blocked when it has met more crashes than a sound one would by chance. The chance
//!   follows from the share of all requests that end in this way.
//! - Crashes that a blocked part explains are no evidence against other parts.
//!
//! Entries share evidence and findings, and each one judges by itself. A blocked part is tried
//! again after a while with one request; `docs/platform.md` describes the whole.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use smol_str::SmolStr;
use waxwing_fleet::dialects;
use waxwing_wire::messages;

/// The fewest separate incidents after which a part is blocked.
const MIN_INCIDENTS: f64 = 3.0;

/// The chance that a sound part is blocked, for one part and one moment; a busy fleet has thousands
/// of parts.
const FALSE_BLOCK_CHANCE: f64 = 1e-5;

/// Half-life of the counts of begun and lost answers.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(10);

/// Time within which crashes count as one incident.
const INCIDENT_TIME: Duration = Duration::from_millis(200);

/// Time within which reports of one endpoint are of the same crash; it starts again only later.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

/// Time for which evidence counts.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(60);

/// Time after the last crash until a blocked part is tried again, doubled with each failed trial.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// The longest time until a blocked part is tried again.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);

/// Time without a crash after which a blocked part is forgotten; no request has tried it since.
const BLOCK_LIFETIME: Duration = Duration::from_secs(1_800);

/// The most evidence that is kept; the oldest is dropped first.
const MAX_EVIDENCE: usize = 512;

/// A request whose answer had begun but had no event yet when its endpoint crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct CrashEvidence {
    endpoint: SmolStr,
    at: Instant,
    /// The parts of its prompt, in order, without the last one.
    parts: Vec<u64>,
}

/// A part that isn't sent to endpoints.
#[derive(Debug, Clone, Copy)]
struct BlockedPart {
    /// When an endpoint last crashed under it.
    last_crash: Instant,
    /// When one request with it may be sent again.
    next_trial: Instant,
    /// The time from a crash to the next trial.
    trial_delay: Duration,
}

impl BlockedPart {
    /// Returns when one request with the part may be sent again by an entry.
    fn trial_due(&self, tries_first: bool) -> Instant {
        match tries_first {
            true => self.next_trial,
            false => self.next_trial + self.trial_delay,
        }
    }

    /// Puts off the next trial. A crash after the delay was that of a failed trial.
    fn record_crash(&mut self, at: Instant) {
        if at.saturating_duration_since(self.last_crash) >= self.trial_delay {
            self.trial_delay = (self.trial_delay * 2).min(MAX_TRIAL_DELAY);
        }
        self.last_crash = self.last_crash.max(at);
        self.next_trial = self.next_trial.max(at + self.trial_delay);
    }
}

/// Counts of answers whose weight halves with each [`COUNT_HALF_LIFE`].
#[derive(Debug, Default)]
struct AnswerCounts {
    begun: f64,
    lost: f64,
    updated: Option<Instant>,
}

impl AnswerCounts {
    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated.map_or(Duration::ZERO, |updated| {
            now.saturating_duration_since(updated)
        });
        let factor = 0.5_f64.powf(elapsed.as_secs_f64() / COUNT_HALF_LIFE.as_secs_f64());
        self.begun *= factor;
        self.lost *= factor;
        self.updated = Some(now);
    }

    /// Returns the share of answers that were lost, estimated high when few were counted.
    fn lost_share(&self) -> f64 {
        (self.lost + 1.0) / (self.begun + self.lost + 2.0)
    }
}

/// What may be done with a request whose prompt has these parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartDecision {
    /// It may be sent.
    Send,
    /// It may be sent as the trial of a blocked part.
    Trial,
    /// It must not be sent; the part crashes endpoints.
    Block(u64),
}

/// Returns the parts that other requests can share: all but the last one.
#[must_use]
pub fn shared_parts(parts: &[dialects::PromptPart]) -> Vec<u64> {
    let shared = parts.len().saturating_sub(1);
    parts[..shared].iter().map(|part| part.id).collect()
}

/// The evidence and findings of one entry. It does no I/O and reads no clock.
#[derive(Debug, Default)]
pub struct CrashLedger {
    evidence: VecDeque<CrashEvidence>,
    blocked: BTreeMap<u64, BlockedPart>,
    /// Answers to requests of this entry.
    answers: AnswerCounts,
    /// Evidence that the other entries don't have yet.
    unsent_evidence: Vec<CrashEvidence>,
    /// Parts that proved sound, which the other entries don't know yet.
    unsent_sound: HashSet<u64>,
}

impl CrashLedger {
    /// Tells whether a request may be sent. `tries_first` tells whether this entry is the one that
    /// tries blocked parts again. The others wait for its result for one more delay: it may have
    /// found a part harmless while they were cut off, and then has nothing left to try.
    #[must_use]
    pub fn decide(&self, now: Instant, parts: &[u64], tries_first: bool) -> PartDecision {
        let mut decision = PartDecision::Send;
        for part in parts {
            match self.blocked.get(part) {
                None => {}
                Some(blocked) if now >= blocked.trial_due(tries_first) => {
                    decision = PartDecision::Trial;
                }
                Some(_) => return PartDecision::Block(*part),
            }
        }
        decision
    }

    /// Records that a request is sent as a trial, so that no other one is.
    pub fn start_trial(&mut self, now: Instant, parts: &[u64]) {
        for part in parts {
            if let Some(blocked) = self.blocked.get_mut(part) {
                blocked.next_trial = now + blocked.trial_delay;
            }
        }
    }

    /// Returns the blocked parts.
    pub fn blocked_parts(&self) -> impl Iterator<Item = u64> {
        self.blocked.keys().copied()
    }

    /// Records that an endpoint crashed when it had begun the answer to a request of this entry
    /// with these parts and had sent no event. Returns the part that is blocked from now on, if
    /// there is one.
    pub fn record_crash(&mut self, now: Instant, endpoint: &SmolStr, parts: &[u64]) -> Option<u64> {
        let evidence = CrashEvidence {
            endpoint: endpoint.clone(),
            at: now,
            parts: parts.to_vec(),
        };
        self.answers.decay(now);
        self.answers.lost += 1.0;
        self.unsent_evidence.push(evidence.clone());
        self.add_evidence(now, evidence)
    }

    /// Records the first event of an answer to a request of this entry with these parts, which
    /// shows that they are sound.
    pub fn record_begin(&mut self, now: Instant, parts: &[u64]) {
        self.answers.decay(now);
        self.answers.begun += 1.0;
        for part in parts {
            if self.clear(*part) {
                self.unsent_sound.insert(*part);
            }
        }
    }

    /// Drops everything that speaks against a part; returns whether there was anything.
    fn clear(&mut self, part: u64) -> bool {
        let mut found = self.blocked.remove(&part).is_some();
        for evidence in &mut self.evidence {
            let before = evidence.parts.len();
            evidence.parts.retain(|suspect| *suspect != part);
            found |= evidence.parts.len() < before;
        }
        self.evidence.retain(|evidence| !evidence.parts.is_empty());
        found
    }

    fn add_evidence(&mut self, now: Instant, evidence: CrashEvidence) -> Option<u64> {
        self.evidence
            .retain(|kept| now.saturating_duration_since(kept.at) < EVIDENCE_LIFETIME);
        if self.evidence.len() >= MAX_EVIDENCE {
            self.evidence.pop_front();
        }
        let mut explained = false;
        for part in &evidence.parts {
            if let Some(blocked) = self.blocked.get_mut(part) {
                explained = true;
                blocked.record_crash(evidence.at);
            }
        }
        let suspects = evidence.parts.clone();
        self.evidence.push_back(evidence);
        if explained {
            return None;
        }
        let culprit = self.find_culprit(&suspects)?;
        let last_crash = now;
        self.blocked.insert(
            culprit,
            BlockedPart {
                last_crash,
                next_trial: last_crash + FIRST_TRIAL_DELAY,
                trial_delay: FIRST_TRIAL_DELAY,
            },
        );
        Some(culprit)
    }

    /// Returns the suspect with the most unexplained incidents if they suffice. Of suspects with
    /// equally many, the later one in the prompt is blamed: fewer requests share it.
    fn find_culprit(&self, suspects: &[u64]) -> Option<u64> {
        let counted = suspects
            .iter()
            .enumerate()
            .map(|(position, part)| (self.incidents(*part), position, *part));
        let (incidents, _, part) = counted.max()?;
        let by_chance = FALSE_BLOCK_CHANCE.ln() / self.answers.lost_share().ln();
        (f64::from(incidents) >= by_chance.max(MIN_INCIDENTS)).then_some(part)
    }

    /// Counts the separate incidents that only this part can explain.
    fn incidents(&self, part: u64) -> u32 {
        let mut times: Vec<_> = self
            .evidence
            .iter()
            .filter(|evidence| evidence.parts.contains(&part) && !self.is_explained(evidence))
            .map(|evidence| evidence.at)
            .collect();
        times.sort_unstable();
        let mut incidents = 0;
        let mut last_start: Option<Instant> = None;
        for at in times {
            if last_start.is_none_or(|start| at.saturating_duration_since(start) >= INCIDENT_TIME) {
                incidents += 1;
                last_start = Some(at);
            }
        }
        incidents
    }

    /// Tells whether a blocked part was at the endpoint in the same crash.
    fn is_explained(&self, evidence: &CrashEvidence) -> bool {
        if self.blocked.is_empty() {
            return false;
        }
        self.evidence.iter().any(|other| {
            other.endpoint == evidence.endpoint
                && time_between(other.at, evidence.at) < SAME_CRASH_TIME
                && other
                    .parts
                    .iter()
                    .any(|part| self.blocked.contains_key(part))
        })
    }

    /// Tells whether the other entries lack something.
    #[must_use]
    pub fn has_changes(&self) -> bool {
        !self.unsent_evidence.is_empty() || !self.unsent_sound.is_empty()
    }

    /// Returns what the other entries lack, or all evidence and findings for a new link. Forgets
    /// parts that nobody has asked for in a long time.
    pub fn take_update(&mut self, now: Instant, snapshot: bool) -> messages::CrashUpdate {
        self.blocked.retain(|_, blocked| {
            now.saturating_duration_since(blocked.last_crash) < BLOCK_LIFETIME
        });
        let evidence = match snapshot {
            true => self.evidence.iter().cloned().collect(),
            false => std::mem::take(&mut self.unsent_evidence),
        };
        let sound = match snapshot {
            true => Vec::new(),
            false => std::mem::take(&mut self.unsent_sound).into_iter().collect(),
        };
        let age_of = |at: Instant| {
            let age = now.saturating_duration_since(at).as_millis();
            u64::try_from(age).unwrap_or(u64::MAX)
        };
        let blocked = self.blocked.iter().filter(|_| snapshot);
        messages::CrashUpdate {
            evidence: evidence
                .into_iter()
                .map(|evidence| messages::CrashEvidence {
                    endpoint: evidence.endpoint.to_string(),
                    age_millis: age_of(evidence.at),
                    parts: evidence.parts,
                })
                .collect(),
            sound,
            blocked: blocked
                .map(|(part, blocked)| messages::BlockedPart {
                    part: *part,
                    age_millis: age_of(blocked.last_crash),
                })
                .collect(),
        }
    }

    /// Applies what another entry found. Returns the parts that are blocked from now on.
    pub fn apply_update(&mut self, now: Instant, update: messages::CrashUpdate) -> Vec<u64> {
        let time_of = |age: u64| now.checked_sub(Duration::from_millis(age)).unwrap_or(now);
        let mut found = Vec::new();
        for part in update.sound {
            self.clear(part);
        }
        for evidence in update.evidence {
            let evidence = CrashEvidence {
                endpoint: SmolStr::new(&evidence.endpoint),
                at: time_of(evidence.age_millis),
                parts: evidence.parts,
            };
            if !self.is_known(&evidence) {
                found.extend(self.add_evidence(now, evidence));
            }
        }
        for blocked in update.blocked {
            let last_crash = time_of(blocked.age_millis);
            self.blocked.entry(blocked.part).or_insert_with(|| {
                found.push(blocked.part);
                BlockedPart {
                    last_crash,
                    next_trial: last_crash + FIRST_TRIAL_DELAY,
                    trial_delay: FIRST_TRIAL_DELAY,
                }
            });
        }
        found
    }

    /// Tells whether the same evidence was received before, over another link.
    fn is_known(&self, evidence: &CrashEvidence) -> bool {
        self.evidence.iter().any(|known| {
            known.endpoint == evidence.endpoint
                && time_between(known.at, evidence.at) < SAME_CRASH_TIME
                && evidence.parts.iter().all(|part| known.parts.contains(part))
        })
    }
}

fn time_between(one: Instant, other: Instant) -> Duration {
    one.max(other).saturating_duration_since(one.min(other))
}
