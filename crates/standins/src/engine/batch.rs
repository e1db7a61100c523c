//! Continuous batching of the stand-in engine. In each step, every running generation emits one
//! token. When the KV cache is full, the newest generation of the lowest priority is preempted and
//! has to recompute its prefill.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which a finished generation can still be read.
const FINISHED_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of entries in the prefix cache.
const PREFIX_CACHE_ENTRIES: usize = 64;
/// Length of the prompt prefix that identifies an entry of the prefix cache, in characters.
const PREFIX_KEY_CHARS: usize = 64;
/// Number of prompt characters that count as one token; non-ASCII characters count by their bytes.
const CHARS_PER_TOKEN: usize = 4;

/// Configuration of a stand-in engine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Duration of one step of the batch, in milliseconds.
    pub step_ms: u64,
    /// Size of the KV cache for prompts and outputs, in tokens.
    #[serde(rename = "memory_tokens")]
    pub kv_cache_tokens: u64,
    /// Maximum number of generations in the batch.
    #[serde(rename = "batch_limit")]
    pub max_batch_size: usize,
    /// Maximum number of prompt tokens prefilled per step, over all generations.
    pub prefill_tokens_per_step: u64,
    /// Delay until a load report becomes visible, in milliseconds.
    #[serde(rename = "report_lag_ms")]
    pub load_report_delay_ms: u64,
    /// Duration of the cold start, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub cold_start_ms: u64,
    /// Maximum number of requests in flight during cold start, as stated in load reports. The
    /// engine does not enforce the limit; [`EngineCounters::cold_start_peak`] tells whether the
    /// limit was exceeded.
    #[serde(rename = "cold_limit")]
    pub cold_start_limit: u32,
    /// Whether the engine rejects an order to load a model if the number of the order is lower than
    /// that of the last accepted order.
    #[serde(rename = "checks_order_number")]
    pub rejects_outdated_orders: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            step_ms: 10,
            kv_cache_tokens: 100_000,
            max_batch_size: 64,
            prefill_tokens_per_step: 512,
            load_report_delay_ms: 100,
            cold_start_ms: 0,
            cold_start_limit: 1,
            rejects_outdated_orders: true,
        }
    }
}

/// Body of `POST /v1/generate`: a request to start a generation.
#[derive(Debug, Clone, Deserialize)]
pub struct GenerateRequest {
    /// Generation id, chosen by the client.
    pub generation: String,
    /// Customer on whose behalf the generation runs.
    #[serde(default)]
    pub customer: String,
    /// Prompt. A marker `<len=N>` sets the output length in tokens; `<poison>` crashes the engine.
    pub prompt: String,
    /// Maximum output length, in tokens.
    pub max_tokens: u64,
    /// Priority. A larger number is a higher priority, unlike in the configuration. Generations of
    /// the lowest priority are preempted first.
    #[serde(default)]
    pub priority: i32,
}

/// Generation that is waiting, running or finished.
#[derive(Debug, Clone)]
pub struct Generation {
    /// Customer on whose behalf the generation runs.
    pub customer: String,
    /// Tokens emitted so far.
    pub tokens: Vec<String>,
    /// Whether the generation has completed or was cancelled.
    pub done: bool,
    /// Number of connections that read the generation.
    pub readers: u32,
    prompt_tokens: u64,
    /// Number of tokens still to be prefilled before the next token can be emitted.
    prefill_remaining: u64,
    /// Number of tokens after which the generation is complete.
    output_tokens: u64,
    priority: i32,
    /// Position in the order of arrival; the newest generation of a priority is preempted first.
    arrival_order: u64,
    finished_at: Option<Instant>,
}

/// Event counters of an engine.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct EngineCounters {
    /// Number of preemptions. A preempted generation has to recompute its prefill.
    pub preemptions: u64,
    /// Highest number of requests in flight during cold start.
    #[serde(rename = "cold_peak")]
    pub cold_start_peak: u32,
    /// Number of prompt tokens served from the prefix cache.
    #[serde(rename = "prefix_hits")]
    pub prefix_hit_tokens: u64,
    /// Number of generations that were started.
    #[serde(rename = "begun")]
    pub started_generations: u64,
}

/// Scheduler state of an engine.
#[derive(Debug)]
pub struct Batch {
    /// Configuration of the engine.
    pub spec: EngineSpec,
    /// Generations by id, including finished ones until their retention ends.
    pub generations: BTreeMap<String, Generation>,
    /// Event counters.
    pub counters: EngineCounters,
    /// End of the cold start.
    pub cold_start_until: Instant,
    /// Ids of generations that wait to be admitted to the batch.
    waiting: VecDeque<String>,
    /// Ids of generations in the batch.
    running: Vec<String>,
    /// Cached prompt prefixes, least recently used first.
    prefix_cache: VecDeque<String>,
    next_arrival_order: u64,
}

/// Returns the output length of a request in tokens, which the prompt determines: the value of the
/// `<len=N>` marker if present, else a pseudorandom value. Limited by `max_tokens`.
fn output_length(request: &GenerateRequest) -> u64 {
    let requested = request.prompt.split("<len=").nth(1).and_then(|rest| rest.split('>').next());
    let output_tokens = requested.and_then(|text| text.parse().ok()).unwrap_or_else(|| {
        let sum: u64 = request.prompt.bytes().map(u64::from).sum();
        5 + sum % 56
    });
    output_tokens.clamp(1, request.max_tokens.max(1))
}

/// Returns the text of the token at `index` of a generation. The text depends on the generation id,
/// so that a test detects tokens that were mixed up between generations.
pub fn token_text(generation: &str, index: usize) -> String {
    let generation_hash: u32 = generation.bytes().fold(7, |h, b| h.wrapping_mul(31) ^ u32::from(b));
    format!("{:04x}.{index} ", generation_hash & 0xffff)
}

impl Batch {
    /// Creates an empty batch that begins with a cold start.
    pub fn new(spec: EngineSpec) -> Self {
        Batch {
            spec,
            generations: BTreeMap::new(),
            counters: EngineCounters::default(),
            cold_start_until: Instant::now() + Duration::from_millis(spec.cold_start_ms),
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefix_cache: VecDeque::new(),
            next_arrival_order: 0,
        }
    }

    /// Reports whether the engine is in cold start.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.cold_start_until
    }

    /// Returns the number of requests that are running or waiting.
    pub fn in_flight(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Returns the number of tokens in the KV cache.
    pub fn used_tokens(&self) -> u64 {
        let running = self.running.iter().filter_map(|id| self.generations.get(id));
        running.map(|g| g.prompt_tokens + g.tokens.len() as u64).sum()
    }

    /// Adds a generation to the queue. Returns false if the generation id is already in use.
    pub fn enqueue(&mut self, request: &GenerateRequest) -> bool {
        if self.generations.contains_key(&request.generation) {
            return false;
        }
        let prefix: String = request.prompt.chars().take(PREFIX_KEY_CHARS).collect();
        let prompt_tokens = (request.prompt.len() / CHARS_PER_TOKEN).max(1) as u64;
        let cache_index = self.prefix_cache.iter().position(|entry| *entry == prefix);
        let cached_tokens = match cache_index.and_then(|index| self.prefix_cache.remove(index)) {
            Some(_) => (PREFIX_KEY_CHARS / CHARS_PER_TOKEN) as u64,
            None => 0,
        };
        self.prefix_cache.push_back(prefix);
        if self.prefix_cache.len() > PREFIX_CACHE_ENTRIES {
            self.prefix_cache.pop_front();
        }
        self.counters.prefix_hit_tokens += cached_tokens;
        self.counters.started_generations += 1;
        let generation = Generation {
            customer: request.customer.clone(),
            tokens: Vec::new(),
            done: false,
            readers: 0,
            prompt_tokens,
            prefill_remaining: prompt_tokens.saturating_sub(cached_tokens),
            output_tokens: output_length(request),
            priority: request.priority,
            arrival_order: self.next_arrival_order,
            finished_at: None,
        };
        self.next_arrival_order += 1;
        self.generations.insert(request.generation.clone(), generation);
        self.waiting.push_back(request.generation.clone());
        if self.is_cold() {
            self.counters.cold_start_peak = self.counters.cold_start_peak.max(self.in_flight());
        }
        true
    }

    /// Removes a generation from the queue or the batch, and marks it as finished.
    pub fn cancel(&mut self, id: &str) {
        self.running.retain(|other| other != id);
        self.waiting.retain(|other| other != id);
        self.finish(id);
    }

    /// Marks a generation as finished, which starts its retention.
    fn finish(&mut self, id: &str) {
        if let Some(generation) = self.generations.get_mut(id) {
            generation.done = true;
            generation.finished_at.get_or_insert_with(Instant::now);
        }
    }

    /// Runs one step: admits waiting generations, spends the prefill budget, and emits one token
    /// for each running generation whose prefill is complete.
    pub fn step(&mut self) {
        self.admit_waiting();
        let mut prefill_budget = self.spec.prefill_tokens_per_step;
        for id in self.running.clone() {
            let Some(generation) = self.generations.get_mut(&id) else { continue };
            if generation.prefill_remaining > 0 {
                let prefilled = generation.prefill_remaining.min(prefill_budget);
                generation.prefill_remaining -= prefilled;
                prefill_budget -= prefilled;
                continue;
            }
            if self.used_tokens() >= self.spec.kv_cache_tokens && !self.preempt_for(&id) {
                continue;
            }
            let Some(generation) = self.generations.get_mut(&id) else { continue };
            if !self.running.contains(&id) {
                continue;
            }
            let index = generation.tokens.len();
            generation.tokens.push(token_text(&id, index));
            if generation.tokens.len() as u64 >= generation.output_tokens {
                self.running.retain(|other| *other != id);
                self.finish(&id);
            }
        }
        self.generations
            .retain(|_, g| g.finished_at.is_none_or(|at| at.elapsed() < FINISHED_RETENTION));
    }

    /// Moves waiting generations into the batch while the batch limit and the KV cache permit. An
    /// empty batch admits a generation of any size.
    fn admit_waiting(&mut self) {
        while self.running.len() < self.spec.max_batch_size {
            let Some(id) = self.waiting.front().cloned() else { break };
            let Some(generation) = self.generations.get(&id) else {
                self.waiting.pop_front();
                continue;
            };
            let required_tokens = generation.prompt_tokens + generation.tokens.len() as u64;
            if !self.running.is_empty()
                && self.used_tokens() + required_tokens >= self.spec.kv_cache_tokens
            {
                break;
            }
            self.waiting.pop_front();
            self.running.push(id);
        }
    }

    /// Frees KV cache so that `id` can emit a token: preempts the newest running generation of the
    /// lowest priority, unless only one generation is running. Returns whether `id` may emit a
    /// token, which is false if `id` itself was preempted.
    fn preempt_for(&mut self, id: &str) -> bool {
        let rank = |other: &&String| {
            let generation = &self.generations[*other];
            (generation.priority, std::cmp::Reverse(generation.arrival_order))
        };
        let Some(victim) = self.running.iter().min_by_key(rank).cloned() else { return false };
        if self.running.len() == 1 {
            return true;
        }
        self.counters.preemptions += 1;
        self.running.retain(|other| *other != victim);
        if let Some(generation) = self.generations.get_mut(&victim) {
            generation.prefill_remaining =
                generation.prompt_tokens + generation.tokens.len() as u64;
        }
        self.waiting.push_front(victim.clone());
        victim != id
    }
}
