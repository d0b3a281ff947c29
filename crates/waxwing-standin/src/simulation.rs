//! The batch of a stand-in engine as a state machine without I/O: admission in arrival order,
//! chunked prefill, decode steps that grow with the batch, and the counts of prefill work. The
//! engine loop asks for one step at a time, waits for its length and then ends it.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use waxwing_core::prompts;

use crate::{answers, caches, options};

/// Request ids of which the submissions are counted; a load run stays far below it.
const COUNTED_RUNS: usize = 262_144;

/// Cancelled requests that are remembered, so that a resumption is told from new work.
const REMEMBERED_CANCELS: usize = 4_096;

/// A `SequenceKey` names one submitted request inside one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceKey(u64);

/// A `SequenceSpec` is a request as it is submitted.
#[derive(Debug, Clone)]
pub struct SequenceSpec {
    /// The request id of the caller's side.
    pub id: SmolStr,
    /// The canonical prompt.
    pub prompt: String,
    /// The seed of the output.
    pub seed: u64,
    /// Output tokens in all, those before `resume` included.
    pub output_tokens: u64,
    /// Output tokens that an earlier run has already delivered.
    pub resume: u64,
}

/// A `TokenUsage` is what a finished request has cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the output, those before a resumption included.
    pub completion_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

/// A `StepProgress` is what one step did for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepProgress {
    /// The output token with this index is ready.
    Token(u64),
    /// All output is ready.
    Done(TokenUsage),
}

/// `EngineCounts` tell how much work was done, spared and wasted, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that were admitted to the batch.
    pub admitted: u64,
    /// Requests that ended whole.
    pub finished: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Tokens computed.
    pub computed: u64,
    /// Tokens found in the prefix cache.
    pub cached: u64,
    /// Tokens computed for requests that were cancelled and not resumed here.
    pub wasted_cancelled: u64,
    /// Tokens computed once more for requests that were resumed here.
    pub wasted_repeated: u64,
    /// Tokens computed for requests that ended with the engine.
    pub wasted_lost: u64,
    /// Output tokens generated.
    pub output: u64,
    /// Output tokens generated for requests that were cancelled and not resumed here.
    pub output_cancelled: u64,
    /// The most requests that ran at one time.
    pub running_peak: u64,
    /// The most requests that waited for admission at one time.
    pub waiting_peak: u64,
}

impl EngineCounts {
    /// Returns the prefill tokens wasted by all causes.
    #[must_use]
    pub fn wasted(&self) -> u64 {
        self.wasted_cancelled + self.wasted_repeated + self.wasted_lost
    }
}

/// A `RunCount` tells how often an engine was given one request id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Submissions that start at the first token and continue no cancelled one.
    pub fresh: u64,
    /// Submissions that continue a cancelled one at this engine.
    pub resumed: u64,
    /// Submissions that start at a later token while no cancelled one is known: the engine had
    /// ended the request before the cancellation came.
    #[serde(default)]
    pub late_resumed: u64,
}

#[derive(Debug, Clone, Copy)]
struct CancelledWork {
    computed: u64,
    output: u64,
}

#[derive(Debug)]
struct Sequence {
    spec: SequenceSpec,
    resumed: bool,
    context_tokens: u64,
    hashes: Vec<u64>,
    pinned: usize,
    private: u64,
    cached: u64,
    computed: u64,
    chunk: u64,
    produced: u64,
}

impl Sequence {
    fn missing(&self) -> u64 {
        self.context_tokens
            .saturating_sub(self.cached + self.computed)
    }

    fn blocks_needed(&self) -> u64 {
        let output = self.spec.output_tokens - self.spec.resume;
        (self.context_tokens + output).div_ceil(prompts::BLOCK_TOKENS as u64)
    }
}

/// A `BatchSimulation` is the state of one engine.
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
    /// Builds an idle engine.
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

    /// Returns the counts of prefill work.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.counts
    }

    /// Returns how often each request id was submitted, so that a double dispatch is seen.
    #[must_use]
    pub fn runs(&self) -> &BTreeMap<SmolStr, RunCount> {
        &self.runs
    }

    /// Returns the cache memory.
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

    /// Returns the prompt tokens that are still to be computed.
    #[must_use]
    pub fn pending_prefill(&self) -> u64 {
        self.sequences.values().map(Sequence::missing).sum()
    }

    /// Returns the hashes of a submitted request's prompt.
    #[must_use]
    pub fn hashes(&self, id: &str) -> Option<Vec<u64>> {
        let sequence = self.sequences.values().find(|held| held.spec.id == id)?;
        Some(sequence.hashes.clone())
    }

    /// Queues a request behind all earlier ones.
    pub fn submit(&mut self, spec: SequenceSpec) -> SequenceKey {
        let key = SequenceKey(self.next_key);
        self.next_key += 1;
        let mut context = spec.prompt.clone();
        context.push_str(&answers::token_range(spec.seed, 0, spec.resume));
        let resumed = self.forget_cancel(&spec.id);
        self.count_run(&spec, resumed);
        let sequence = Sequence {
            resumed,
            context_tokens: prompts::estimate_tokens(&context).0,
            hashes: prompts::block_hashes(&context),
            pinned: 0,
            private: 0,
            cached: 0,
            computed: 0,
            chunk: 0,
            produced: spec.resume,
            spec,
        };
        self.sequences.insert(key, sequence);
        self.waiting.push_back(key);
        key
    }

    /// Ends a request before its end and frees its memory; what it computed stays cached until it
    /// is evicted.
    pub fn cancel(&mut self, key: SequenceKey) {
        let Some(sequence) = self.sequences.remove(&key) else {
            return;
        };
        self.waiting.retain(|held| *held != key);
        self.running.retain(|held| *held != key);
        self.counts.cancelled += 1;
        let work = CancelledWork {
            computed: sequence.computed,
            output: sequence.produced - sequence.spec.resume,
        };
        self.counts.wasted_cancelled += work.computed;
        self.counts.output_cancelled += work.output;
        self.remember_cancel(sequence.spec.id.clone(), work);
        self.release(sequence);
    }

    /// Finds the requests with this id.
    #[must_use]
    pub fn keys_of(&self, id: &str) -> Vec<SequenceKey> {
        let sequences = self.sequences.iter();
        sequences
            .filter(|(_, sequence)| sequence.spec.id == id)
            .map(|(key, _)| *key)
            .collect()
    }

    /// Counts the work of every request as lost, as when the engine dies.
    pub fn lose_all(&mut self) {
        let computed: u64 = self.sequences.values().map(|held| held.computed).sum();
        self.counts.wasted_lost += computed;
        self.sequences.clear();
        self.waiting.clear();
        self.running.clear();
    }

    /// Admits waiting requests, plans the next step and returns its length; none if nothing runs.
    pub fn begin_step(&mut self) -> Option<Duration> {
        self.admit();
        let counts = &mut self.counts;
        counts.running_peak = counts.running_peak.max(self.running.len() as u64);
        counts.waiting_peak = counts.waiting_peak.max(self.waiting.len() as u64);
        if self.running.is_empty() {
            return None;
        }
        let decoding = self.running.iter().map(|key| &self.sequences[key]);
        let decoding = decoding.filter(|sequence| sequence.missing() == 0);
        let (count, context) = decoding.fold((0_u32, 0), |(count, context), sequence| {
            (
                count + 1,
                context + sequence.context_tokens + sequence.produced,
            )
        });
        let mut millis = self.decode_millis(count, context);
        millis += self.plan_chunks() as f64 * 1_000.0 / self.options.prefill_rate.0;
        Some(Duration::from_secs_f64(millis / 1_000.0))
    }

    /// Ends the planned step and returns what it did, in the order of admission.
    pub fn end_step(&mut self) -> Vec<(SequenceKey, StepProgress)> {
        let mut progress = Vec::new();
        let mut ended = Vec::new();
        for key in self.running.clone() {
            if let Some(token) = self.advance(key) {
                progress.push((key, StepProgress::Token(token)));
            }
            if let Some(usage) = self.usage_at_end(key) {
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
            // The head of the queue blocks all others: the engine has no notion of priority.
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
        let matching = self.cache.matching(&sequence.hashes);
        let private = sequence.blocks_needed().saturating_sub(matching as u64);
        if !self.cache.reserve(&sequence.hashes[..matching], private) {
            return false;
        }
        sequence.pinned = matching;
        sequence.private = private;
        // The last token is always computed, since its result starts the output.
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
                sequence.chunk = sequence.missing().min(budget);
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
        // A request that was planned for prefill and still misses tokens gives no output yet.
        if sequence.missing() > 0 || sequence.produced >= sequence.spec.output_tokens {
            return None;
        }
        sequence.produced += 1;
        self.counts.output += 1;
        Some(sequence.produced - 1)
    }

    fn usage_at_end(&self, key: SequenceKey) -> Option<TokenUsage> {
        let sequence = self.sequences.get(&key)?;
        let ended = sequence.missing() == 0 && sequence.produced >= sequence.spec.output_tokens;
        ended.then(|| TokenUsage {
            prompt_tokens: prompts::estimate_tokens(&sequence.spec.prompt).0,
            completion_tokens: sequence.produced,
            cached_tokens: sequence.cached,
        })
    }

    fn finish(&mut self, key: SequenceKey) {
        self.running.retain(|held| *held != key);
        if let Some(sequence) = self.sequences.remove(&key) {
            self.counts.finished += 1;
            self.release(sequence);
        }
    }

    fn release(&mut self, mut sequence: Sequence) {
        let spec = &sequence.spec;
        if sequence.missing() == 0 && sequence.produced > spec.resume {
            // Output blocks are cached too, so that a resumed request finds its whole context.
            let mut context = spec.prompt.clone();
            context.push_str(&answers::token_range(spec.seed, 0, sequence.produced));
            sequence.hashes = prompts::block_hashes(&context);
            store_all(&mut self.cache, &mut sequence);
        }
        let pinned = &sequence.hashes[..sequence.pinned];
        self.cache.release(pinned, sequence.private);
    }

    fn count_run(&mut self, spec: &SequenceSpec, resumed: bool) {
        if spec.id.is_empty() || self.runs.len() >= COUNTED_RUNS {
            return;
        }
        let run = self.runs.entry(spec.id.clone()).or_default();
        match (resumed, spec.resume) {
            (true, _) => run.resumed += 1,
            (false, 0) => run.fresh += 1,
            (false, _) => run.late_resumed += 1,
        }
    }

    fn remember_cancel(&mut self, id: SmolStr, work: CancelledWork) {
        if self.cancels.insert(id.clone(), work).is_none() {
            self.cancel_order.push_back(id);
        }
        if self.cancel_order.len() > REMEMBERED_CANCELS
            && let Some(oldest) = self.cancel_order.pop_front()
        {
            self.cancels.remove(&oldest);
        }
    }

    fn forget_cancel(&mut self, id: &SmolStr) -> bool {
        let Some(work) = self.cancels.remove(id) else {
            return false;
        };
        self.cancel_order.retain(|held| held != id);
        self.counts.wasted_cancelled -= work.computed;
        self.counts.output_cancelled -= work.output;
        true
    }
}

fn store_blocks(cache: &mut caches::PrefixCache, sequence: &mut Sequence) {
    let ready = (sequence.cached + sequence.computed) / prompts::BLOCK_TOKENS as u64;
    let ready = sequence.hashes.len().min(ready as usize);
    store_until(cache, sequence, ready);
}

fn store_all(cache: &mut caches::PrefixCache, sequence: &mut Sequence) {
    let ready = sequence.hashes.len();
    store_until(cache, sequence, ready);
}

fn store_until(cache: &mut caches::PrefixCache, sequence: &mut Sequence, ready: usize) {
    while sequence.pinned < ready && sequence.private > 0 {
        cache.store(sequence.hashes[sequence.pinned]);
        sequence.pinned += 1;
        sequence.private -= 1;
    }
}
