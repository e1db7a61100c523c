//! The engine's continuous batch: in each step every running generation yields one token, as long
//! as memory lasts; when it is full, the generation of the lowest priority that came last is
//! preempted and has to be computed anew.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a finished generation can still be read.
const KEEP_FINISHED: Duration = Duration::from_secs(60);
/// Prefixes that are remembered.
const PREFIX_SLOTS: usize = 64;
/// Characters that count as a prefix.
const PREFIX_CHARS: usize = 64;
/// Characters a token, for prompts.
const CHARS_PER_TOKEN: usize = 4;

/// What kind of engine it is.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSpec {
    /// Duration of a step.
    pub step_ms: u64,
    /// Memory for prompts and outputs, in tokens.
    pub memory_tokens: u64,
    /// Generations in the batch at most.
    pub batch_limit: usize,
    /// Prompt tokens computed in a step.
    pub prefill_tokens_per_step: u64,
    /// Age of the figures in load reports.
    pub report_lag_ms: u64,
    /// How long it is in cold start.
    pub cold_ms: u64,
    /// Requests that it bears in cold start.
    pub cold_limit: u32,
    /// Whether it refuses orders with an old number.
    pub checks_order_number: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        EngineSpec {
            step_ms: 10,
            memory_tokens: 100_000,
            batch_limit: 64,
            prefill_tokens_per_step: 512,
            report_lag_ms: 100,
            cold_ms: 0,
            cold_limit: 1,
            checks_order_number: true,
        }
    }
}

/// A request for a generation.
#[derive(Debug, Clone, Deserialize)]
pub struct GenerateBody {
    /// Its id.
    pub generation: String,
    /// For whom it runs.
    #[serde(default)]
    pub customer: String,
    /// The prompt. `<len=N>` in it sets the output's length, `<poison>` crashes the engine.
    pub prompt: String,
    /// Longest output.
    pub max_tokens: u64,
    /// Higher ones are preempted last.
    #[serde(default)]
    pub priority: i32,
}

/// A generation, running or finished.
#[derive(Debug, Clone)]
pub struct Generation {
    /// For whom it runs.
    pub customer: String,
    /// Its tokens so far.
    pub tokens: Vec<String>,
    /// Whether it has ended.
    pub done: bool,
    /// Connections that read it.
    pub readers: u32,
    prompt_tokens: u64,
    prefill_left: u64,
    length: u64,
    priority: i32,
    order: u64,
    ended: Option<Instant>,
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct EngineCounts {
    /// Generations thrown out of memory and computed anew.
    pub preemptions: u64,
    /// Most requests at once while cold.
    pub cold_peak: u32,
    /// Prompt tokens found in the prefix cache.
    pub prefix_hits: u64,
    /// Generations begun.
    pub begun: u64,
}

/// The state of the batch.
#[derive(Debug)]
pub struct Batch {
    /// What kind of engine it is.
    pub spec: EngineSpec,
    /// All generations that can be read.
    pub generations: BTreeMap<String, Generation>,
    /// What was counted.
    pub counts: EngineCounts,
    /// When cold start ends.
    pub cold_until: Instant,
    waiting: VecDeque<String>,
    running: Vec<String>,
    prefixes: VecDeque<String>,
    next_order: u64,
}

fn output_length(body: &GenerateBody) -> u64 {
    let marked = body.prompt.split("<len=").nth(1).and_then(|rest| rest.split('>').next());
    let length = marked.and_then(|text| text.parse().ok()).unwrap_or_else(|| {
        let sum: u64 = body.prompt.bytes().map(u64::from).sum();
        5 + sum % 56
    });
    length.clamp(1, body.max_tokens.max(1))
}

/// The token at `index` of a generation: it names the generation, so that a mix would show.
pub fn token_text(generation: &str, index: usize) -> String {
    let mark: u32 = generation.bytes().fold(7, |h, b| h.wrapping_mul(31) ^ u32::from(b));
    format!("{:04x}.{index} ", mark & 0xffff)
}

impl Batch {
    /// An empty batch.
    pub fn new(spec: EngineSpec) -> Self {
        Batch {
            spec,
            generations: BTreeMap::new(),
            counts: EngineCounts::default(),
            cold_until: Instant::now() + Duration::from_millis(spec.cold_ms),
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefixes: VecDeque::new(),
            next_order: 0,
        }
    }

    /// Whether it is in cold start.
    pub fn is_cold(&self) -> bool {
        Instant::now() < self.cold_until
    }

    /// Requests running or waiting.
    pub fn in_flight(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Tokens in memory.
    pub fn used_tokens(&self) -> u64 {
        let running = self.running.iter().filter_map(|id| self.generations.get(id));
        running.map(|g| g.prompt_tokens + g.tokens.len() as u64).sum()
    }

    /// Takes a request in; false where the id is in use.
    pub fn begin(&mut self, body: &GenerateBody) -> bool {
        if self.generations.contains_key(&body.generation) {
            return false;
        }
        let prefix: String = body.prompt.chars().take(PREFIX_CHARS).collect();
        let prompt_tokens = (body.prompt.len() / CHARS_PER_TOKEN).max(1) as u64;
        let cached = self.prefixes.iter().position(|known| *known == prefix);
        let hit = match cached.and_then(|index| self.prefixes.remove(index)) {
            Some(_) => (PREFIX_CHARS / CHARS_PER_TOKEN) as u64,
            None => 0,
        };
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > PREFIX_SLOTS {
            self.prefixes.pop_front();
        }
        self.counts.prefix_hits += hit;
        self.counts.begun += 1;
        let generation = Generation {
            customer: body.customer.clone(),
            tokens: Vec::new(),
            done: false,
            readers: 0,
            prompt_tokens,
            prefill_left: prompt_tokens.saturating_sub(hit),
            length: output_length(body),
            priority: body.priority,
            order: self.next_order,
            ended: None,
        };
        self.next_order += 1;
        self.generations.insert(body.generation.clone(), generation);
        self.waiting.push_back(body.generation.clone());
        if self.is_cold() {
            self.counts.cold_peak = self.counts.cold_peak.max(self.in_flight());
        }
        true
    }

    /// Ends a generation early.
    pub fn cancel(&mut self, id: &str) {
        self.running.retain(|other| other != id);
        self.waiting.retain(|other| other != id);
        self.finish(id);
    }

    fn finish(&mut self, id: &str) {
        if let Some(generation) = self.generations.get_mut(id) {
            generation.done = true;
            generation.ended.get_or_insert_with(Instant::now);
        }
    }

    /// One step.
    pub fn step(&mut self) {
        self.admit();
        let mut prefill = self.spec.prefill_tokens_per_step;
        for id in self.running.clone() {
            let Some(generation) = self.generations.get_mut(&id) else { continue };
            if generation.prefill_left > 0 {
                let part = generation.prefill_left.min(prefill);
                generation.prefill_left -= part;
                prefill -= part;
                continue;
            }
            if self.used_tokens() >= self.spec.memory_tokens && !self.preempt_for(&id) {
                continue;
            }
            let Some(generation) = self.generations.get_mut(&id) else { continue };
            if !self.running.contains(&id) {
                continue;
            }
            let index = generation.tokens.len();
            generation.tokens.push(token_text(&id, index));
            if generation.tokens.len() as u64 >= generation.length {
                self.running.retain(|other| *other != id);
                self.finish(&id);
            }
        }
        self.generations.retain(|_, g| g.ended.is_none_or(|at| at.elapsed() < KEEP_FINISHED));
    }

    fn admit(&mut self) {
        while self.running.len() < self.spec.batch_limit {
            let Some(id) = self.waiting.front().cloned() else { break };
            let Some(generation) = self.generations.get(&id) else {
                self.waiting.pop_front();
                continue;
            };
            let need = generation.prompt_tokens + generation.tokens.len() as u64;
            if !self.running.is_empty() && self.used_tokens() + need >= self.spec.memory_tokens {
                break;
            }
            self.waiting.pop_front();
            self.running.push(id);
        }
    }

    /// Throws one generation out; false where only `id` itself is left.
    fn preempt_for(&mut self, id: &str) -> bool {
        let rank = |other: &&String| {
            let generation = &self.generations[*other];
            (generation.priority, std::cmp::Reverse(generation.order))
        };
        let Some(victim) = self.running.iter().min_by_key(rank).cloned() else { return false };
        if self.running.len() == 1 {
            return true;
        }
        self.counts.preemptions += 1;
        self.running.retain(|other| *other != victim);
        if let Some(generation) = self.generations.get_mut(&victim) {
            generation.prefill_left = generation.prompt_tokens + generation.tokens.len() as u64;
        }
        self.waiting.push_front(victim.clone());
        victim != id
    }
}
