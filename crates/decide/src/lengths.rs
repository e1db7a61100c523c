//! How long generations of a route become, learnt from those that ended and those cut short.
//!
//! A generation that was cut short says only that it would have become longer than it was: it is
//! a censored observation. The survival function follows the product-limit estimate over
//! logarithmic buckets of output length; old observations fade.

/// Two buckets an octave up to 2^16 tokens.
const BUCKETS: usize = 33;
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// What remains of an observation's weight when another one comes.
const FADE: f64 = 0.998;
/// Weight of the assumption that holds before anything was learnt.
const PRIOR_WEIGHT: f64 = 2.0;
/// The assumed length before anything was learnt, as a part of the longest allowed output.
const PRIOR_PART: f64 = 0.5;

fn bucket_of(tokens: f64) -> usize {
    let position = (tokens.max(1.0).log2() * BUCKETS_PER_OCTAVE).floor();
    (position as usize).min(BUCKETS - 1)
}

fn bucket_start(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
}

/// The output lengths of one route.
#[derive(Debug, Clone)]
pub struct Lengths {
    ended: [f64; BUCKETS],
    cut_short: [f64; BUCKETS],
    survival: [f64; BUCKETS + 1],
}

impl Lengths {
    /// Nothing learnt yet, for a route whose outputs have at most `max_tokens`.
    pub fn new(max_tokens: u32) -> Self {
        let mut lengths = Lengths {
            ended: [0.0; BUCKETS],
            cut_short: [0.0; BUCKETS],
            survival: [1.0; BUCKETS + 1],
        };
        lengths.ended[bucket_of(f64::from(max_tokens) * PRIOR_PART)] = PRIOR_WEIGHT;
        lengths.update();
        lengths
    }

    /// Notes an output that ended by itself, or was cut short at `tokens`.
    pub fn observe(&mut self, tokens: u32, ended: bool) {
        let counts = self.ended.iter_mut().chain(&mut self.cut_short);
        counts.for_each(|count| *count *= FADE);
        let bucket = bucket_of(f64::from(tokens));
        match ended {
            true => self.ended[bucket] += 1.0,
            false => self.cut_short[bucket] += 1.0,
        }
        self.update();
    }

    fn update(&mut self) {
        let mut at_risk: f64 = self.ended.iter().chain(&self.cut_short).sum();
        let mut alive = 1.0;
        for bucket in 0..BUCKETS {
            self.survival[bucket] = alive;
            if at_risk > f64::EPSILON {
                alive *= 1.0 - (self.ended[bucket] / at_risk).min(1.0);
            }
            at_risk -= self.ended[bucket] + self.cut_short[bucket];
        }
        self.survival[BUCKETS] = alive;
    }

    fn longer_than(&self, tokens: f64) -> f64 {
        let bucket = bucket_of(tokens);
        let (start, end) = (bucket_start(bucket), bucket_start(bucket + 1));
        let within = ((tokens - start) / (end - start)).clamp(0.0, 1.0);
        self.survival[bucket] + (self.survival[bucket + 1] - self.survival[bucket]) * within
    }

    /// The chance that an output which has `produced` tokens reaches `tokens`.
    pub fn reaches(&self, tokens: f64, produced: f64) -> f64 {
        match self.longer_than(produced) {
            known if known <= f64::EPSILON => 1.0,
            known => (self.longer_than(tokens) / known).clamp(0.0, 1.0),
        }
    }

    /// Tokens still to come, on average, after `produced`, of an output of at most `max_tokens`.
    pub fn expected_remaining(&self, produced: f64, max_tokens: f64) -> f64 {
        let mut from = produced.max(1.0);
        let mut sum = 0.0;
        while from < max_tokens {
            let to = (from * 1.25 + 1.0).min(max_tokens);
            sum += (to - from) * self.reaches((from + to) / 2.0, produced);
            from = to;
        }
        sum
    }
}
