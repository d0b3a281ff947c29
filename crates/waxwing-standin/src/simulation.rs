//! The batch of a simulated engine as a state machine without I/O: admission in arrival order,
//! chunked prefill, decode steps that grow with the batch, and counts of the work. The engine's loop
//! begins a step, waits for its duration and then ends it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_core::prompts;

use crate::{answers, caches, options};

/// Maximum number of request ids whose submissions are counted. Load runs stay far below it.
const MAX_COUNTED_REQUESTS: usize = 262_144;

/// Maximum number of cancelled requests that are remembered to tell resumptions from new requests.
const MAX_REMEMBERED_CANCELS: usize = 4_096;

/// Identifies a submission within one engine; keys ascend in order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceKey(u64);

/// A request to submit to an engine.
#[derive(Debug, Clone)]
pub struct SequenceSpec {
    /// Request id; submissions with an empty one are not counted.
    pub id: SmolStr,
    /// Canonical prompt.
    pub prompt: String,
    /// Seed of the output.
    pub seed: u64,
    /// Number of output tokens, those before `resume` included.
    pub output_tokens: u64,
    /// Number of output tokens that an earlier run has already delivered.
    pub resume: u64,
}

/// Token usage of a completed request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of output tokens, those before a resumption included.
    pub completion_tokens: u64,
    /// Number of context tokens found in the prefix cache.
    pub cached_tokens: u64,
}

/// Progress of a request in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepProgress {
    /// The output token with this index was generated.
    Token(u64),
    /// All output was generated.
    Done(TokenUsage),
}

/// Counts of requests, and of work that was done, saved and wasted, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that were admitted to the batch.
    pub admitted: u64,
    /// Requests that were completed.
    pub finished: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Prefill tokens computed.
    pub computed: u64,
    /// Prefill tokens found in the prefix cache.
    pub cached: u64,
    /// Prefill tokens computed for requests that were cancelled and not resumed at this engine.
    pub wasted_cancelled: u64,
    /// Prefill tokens computed again for requests that were resumed at this engine.
    pub wasted_repeated: u64,
    /// Prefill tokens computed for requests that were lost when the engine stopped.
    pub wasted_lost: u64,
    /// Output tokens generated.
    pub output: u64,
    /// Output tokens generated for requests that were cancelled and not resumed at this engine.
    pub output_cancelled: u64,
    /// Maximum number of requests in the batch.
    pub running_peak: u64,
    /// Maximum number of requests that waited for admission at the same time.
    pub waiting_peak: u64,
}

impl EngineCounts {
    /// Returns the prefill tokens wasted for any cause.
    #[must_use]
    pub fn wasted(&self) -> u64 {
        self.wasted_cancelled + self.wasted_repeated + self.wasted_lost
    }
}

/// Number of submissions of one request id to an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Submissions that start at the first token and resume no cancelled one.
    pub fresh: u64,
    /// Submissions that resume one that was cancelled at this engine.
    pub resumed: u64,
    /// Submissions that start at a later token although no cancelled one is known, since the engine
    /// had completed the request before the cancellation arrived.
    #[serde(default)]
    pub late_resumed: u64,
}

/// Tokens computed and generated for a cancelled request.
#[derive(Debug, Clone, Copy)]
struct CancelledWork {
    computed: u64,
    output: u64,
}

#[derive(Debug)]
struct Sequence {
    spec: SequenceSpec,
    resumed: bool,
    /// Tokens of the prompt and of the output delivered by an earlier run.
    context_tokens: u64,
    /// Block hashes of the context.
    hashes: Vec<u64>,
    /// Number of leading `hashes` that are cached and pinned.
    pinned: usize,
    /// Blocks that are reserved but not cached.
    reserved: u64,
    /// Context tokens found in the prefix cache.
    cached: u64,
    /// Context tokens computed.
    computed: u64,
    /// Context tokens that the current step computes.
    chunk: u64,
    /// Output tokens so far, those of an earlier run included.
    generated: u64,
}

impl Sequence {
    /// Returns the number of context tokens that are still to be computed.
    fn remaining_prefill(&self) -> u64 {
        self.context_tokens
            .saturating_sub(self.cached + self.computed)
    }

    fn blocks_needed(&self) -> u64 {
        let output = self.spec.output_tokens - self.spec.resume;
        (self.context_tokens + output).div_ceil(prompts::BLOCK_TOKENS as u64)
    }
}

/// The state of one simulated engine.
#[derive(Debug)]
pub struct BatchSimulation {
    options: options::EngineOptions,
    cache: caches::PrefixCache,
    waiting: VecDeque<SequenceKey>,
    running: Vec<SequenceKey>,
    sequences: BTreeMap<SequenceKey, Sequence>,
    cancels: HashMap<SmolStr, CancelledWork>,
    cancel_order: VecDeque<SmolStr>,
    counts: EngineCounts,
    runs: BTreeMap<SmolStr, RunCount>,
    next_key: u64,
}

impl BatchSimulation {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(options: options::EngineOptions) -> Self {
        let blocks = options.cache_tokens.0 / prompts::BLOCK_TOKENS as u64;
        Self {
            options,
            cache: caches::PrefixCache::new(blocks),
            waiting: VecDeque::new(),
            running: Vec::new(),
            sequences: BTreeMap::new(),
            cancels: HashMap::new(),
            cancel_order: VecDeque::new(),
            counts: EngineCounts::default(),
            runs: BTreeMap::new(),
            next_key: 0,
        }
    }

    /// Returns the counts of work.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.counts
    }

    /// Returns the number of submissions by request id, to detect requests dispatched twice.
    #[must_use]
    pub fn runs(&self) -> &BTreeMap<SmolStr, RunCount> {
        &self.runs
    }

    /// Returns the KV cache memory.
    pub fn cache(&mut self) -> &mut caches::PrefixCache {
        &mut self.cache
    }

    /// Returns the number of requests in the batch.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait for admission.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prefill tokens of all requests that are still to be computed.
    #[must_use]
    pub fn pending_prefill(&self) -> u64 {
        self.sequences
            .values()
            .map(Sequence::remaining_prefill)
            .sum()
    }

    /// Returns the block hashes of the context of a submitted request; none if there is no request
    /// with the id.
    #[must_use]
    pub fn hashes(&self, id: &str) -> Option<Vec<u64>> {
        let sequence = self
            .sequences
            .values()
            .find(|submitted| submitted.spec.id == id)?;
        Some(sequence.hashes.clone())
    }

    /// Appends a request to the queue.
    pub fn submit(&mut self, spec: SequenceSpec) -> SequenceKey {
        let key = SequenceKey(self.next_key);
        self.next_key += 1;
        let mut context = spec.prompt.clone();
        context.push_str(&answers::token_range(spec.seed, 0, spec.resume));
        let resumed = self.reclaim_cancelled(&spec.id);
        self.count_submission(&spec, resumed);
        let sequence = Sequence {
            resumed,
            context_tokens: prompts::estimate_tokens(&context).0,
            hashes: prompts::block_hashes(&context),
            pinned: 0,
            reserved: 0,
            cached: 0,
            computed: 0,
            chunk: 0,
            generated: spec.resume,
            spec,
        };
        self.sequences.insert(key, sequence);
        self.waiting.push_back(key);
        key
    }

    /// Cancels a request and frees its memory. Computed blocks stay cached until they are evicted.
    pub fn cancel(&mut self, key: SequenceKey) {
        let Some(sequence) = self.sequences.remove(&key) else {
            return;
        };
        self.waiting.retain(|submitted| *submitted != key);
        self.running.retain(|submitted| *submitted != key);
        self.counts.cancelled += 1;
        let work = CancelledWork {
            computed: sequence.computed,
            output: sequence.generated - sequence.spec.resume,
        };
        self.counts.wasted_cancelled += work.computed;
        self.counts.output_cancelled += work.output;
        self.remember_cancelled(sequence.spec.id.clone(), work);
        self.release(sequence);
    }

    /// Returns the keys of all requests with the id.
    #[must_use]
    pub fn keys_of(&self, id: &str) -> Vec<SequenceKey> {
        let sequences = self.sequences.iter();
        sequences
            .filter(|(_, sequence)| sequence.spec.id == id)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Ends all requests and counts their work as lost, as when the engine dies.
    pub fn abort_all(&mut self) {
        let computed: u64 = self
            .sequences
            .values()
            .map(|submitted| submitted.computed)
            .sum();
        self.counts.wasted_lost += computed;
        self.sequences.clear();
        self.waiting.clear();
        self.running.clear();
    }

    /// Admits waiting requests, plans the next step and returns its duration; none if the batch is
    /// empty.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        let counts = &mut self.counts;
        counts.running_peak = counts.running_peak.max(self.running.len() as u64);
        counts.waiting_peak = counts.waiting_peak.max(self.waiting.len() as u64);
        if self.running.is_empty() {
            return None;
        }
        let decoding = self.running.iter().map(|key| &self.sequences[key]);
        let decoding = decoding.filter(|sequence| sequence.remaining_prefill() == 0);
        let (count, context) = decoding.fold((0_u32, 0), |(count, context), sequence| {
            (
                count + 1,
                context + sequence.context_tokens + sequence.generated,
            )
        });
        let mut millis = self.decode_millis(count, context);
        millis += self.plan_chunks() as f64 * 1_000.0 / self.options.prefill_rate.0;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Ends the planned step and returns the progress of its requests, in order of admission.
    pub fn end_step(&mut self) -> Vec<(SequenceKey, StepProgress)> {
        let mut progress = Vec::new();
        let mut ended = Vec::new();
        for key in self.running.clone() {
            if let Some(token) = self.advance(key) {
                progress.push((key, StepProgress::Token(token)));
            }
            if let Some(usage) = self.usage_if_complete(key) {
                progress.push((key, StepProgress::Done(usage)));
                ended.push(key);
            }
        }
        for key in ended {
            self.finish(key);
        }
        progress
    }

    fn decode_millis(&self, count: u32, context: u64) -> f64 {
        if count == 0 {
            return 0.0;
        }
        let batch = 1.0 + self.options.batch_slowdown * f64::from(count - 1);
        let context = context as f64 / self.options.context_slowdown_tokens;
        self.options.token_millis * (batch + context)
    }

    fn admit(&mut self) {
        while let Some(key) = self.waiting.front().copied() {
            // The head of the queue blocks all others, since the engine knows no priorities.
            if self.running.len() >= self.options.max_batch || !self.reserve(key) {
                return;
            }
            self.waiting.pop_front();
            self.running.push(key);
        }
    }

    fn reserve(&mut self, key: SequenceKey) -> bool {
        let Some(sequence) = self.sequences.get_mut(&key) else {
            return true;
        };
        let matching = self.cache.matching_prefix(&sequence.hashes);
        let reserved = sequence.blocks_needed().saturating_sub(matching as u64);
        if !self.cache.reserve(&sequence.hashes[..matching], reserved) {
            return false;
        }
        sequence.pinned = matching;
        sequence.reserved = reserved;
        // The last token is always computed, since its result is needed for the first output token.
        let cached = (matching * prompts::BLOCK_TOKENS) as u64;
        sequence.cached = cached.min(sequence.context_tokens - 1);
        self.counts.admitted += 1;
        self.counts.cached += sequence.cached;
        true
    }

    fn plan_chunks(&mut self) -> u64 {
        let mut budget = self.options.chunk_tokens;
        for key in &self.running {
            if let Some(sequence) = self.sequences.get_mut(key) {
                sequence.chunk = sequence.remaining_prefill().min(budget);
                budget -= sequence.chunk;
            }
        }
        self.options.chunk_tokens - budget
    }

    fn advance(&mut self, key: SequenceKey) -> Option<u64> {
        let sequence = self.sequences.get_mut(&key)?;
        let chunk = std::mem::take(&mut sequence.chunk);
        if chunk > 0 {
            sequence.computed += chunk;
            self.counts.computed += chunk;
            if sequence.resumed {
                self.counts.wasted_repeated += chunk;
            }
            store_blocks(&mut self.cache, sequence);
        }
        // A request generates output only after its prefill is complete.
        if sequence.remaining_prefill() > 0 || sequence.generated >= sequence.spec.output_tokens {
            return None;
        }
        sequence.generated += 1;
        self.counts.output += 1;
        Some(sequence.generated - 1)
    }

    fn usage_if_complete(&self, key: SequenceKey) -> Option<TokenUsage> {
        let sequence = self.sequences.get(&key)?;
        let ended =
            sequence.remaining_prefill() == 0 && sequence.generated >= sequence.spec.output_tokens;
        ended.then(|| TokenUsage {
            prompt_tokens: prompts::estimate_tokens(&sequence.spec.prompt).0,
            completion_tokens: sequence.generated,
            cached_tokens: sequence.cached,
        })
    }

    fn finish(&mut self, key: SequenceKey) {
        self.running.retain(|submitted| *submitted != key);
        if let Some(sequence) = self.sequences.remove(&key) {
            self.counts.finished += 1;
            self.release(sequence);
        }
    }

    fn release(&mut self, mut sequence: Sequence) {
        let spec = &sequence.spec;
        if sequence.remaining_prefill() == 0 && sequence.generated > spec.resume {
            // Output blocks are cached too, so that a resumed request finds its complete context.
            let mut context = spec.prompt.clone();
            context.push_str(&answers::token_range(spec.seed, 0, sequence.generated));
            sequence.hashes = prompts::block_hashes(&context);
            store_all(&mut self.cache, &mut sequence);
        }
        let pinned = &sequence.hashes[..sequence.pinned];
        self.cache.release(pinned, sequence.reserved);
    }

    fn count_submission(&mut self, spec: &SequenceSpec, resumed: bool) {
        if spec.id.is_empty() || self.runs.len() >= MAX_COUNTED_REQUESTS {
            return;
        }
        let run = self.runs.entry(spec.id.clone()).or_default();
        match (resumed, spec.resume) {
            (true, _) => run.resumed += 1,
            (false, 0) => run.fresh += 1,
            (false, _) => run.late_resumed += 1,
        }
    }

    fn remember_cancelled(&mut self, id: SmolStr, work: CancelledWork) {
        if self.cancels.insert(id.clone(), work).is_none() {
            self.cancel_order.push_back(id);
        }
        if self.cancel_order.len() > MAX_REMEMBERED_CANCELS
            && let Some(oldest) = self.cancel_order.pop_front()
        {
            self.cancels.remove(&oldest);
        }
    }

    fn reclaim_cancelled(&mut self, id: &SmolStr) -> bool {
        let Some(work) = self.cancels.remove(id) else {
            return false;
        };
        self.cancel_order.retain(|remembered| remembered != id);
        self.counts.wasted_cancelled -= work.computed;
        self.counts.output_cancelled -= work.output;
        true
    }
}

fn store_blocks(cache: &mut caches::PrefixCache, sequence: &mut Sequence) {
    let end = (sequence.cached + sequence.computed) / prompts::BLOCK_TOKENS as u64;
    let end = sequence.hashes.len().min(end as usize);
    store_until(cache, sequence, end);
}

fn store_all(cache: &mut caches::PrefixCache, sequence: &mut Sequence) {
    let end = sequence.hashes.len();
    store_until(cache, sequence, end);
}

fn store_until(cache: &mut caches::PrefixCache, sequence: &mut Sequence, end: usize) {
    while sequence.pinned < end && sequence.reserved > 0 {
        cache.store(sequence.hashes[sequence.pinned]);
        sequence.pinned += 1;
        sequence.reserved -= 1;
    }
}
