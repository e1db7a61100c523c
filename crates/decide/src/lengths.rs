//! Estimates the output lengths of a route's generations from completed and truncated outputs.
//!
//! A truncated output is a censored observation: only a lower bound of its length is known. The
//! survival function is the product-limit (Kaplan-Meier) estimate over logarithmic buckets of
//! output length; the weight of old observations decays.

/// Number of length buckets: two per octave, up to 2^16 tokens.
const BUCKET_COUNT: usize = 33;
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Factor applied to the weight of all earlier observations at each new observation.
const OBSERVATION_DECAY: f64 = 0.998;
/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 2.0;
/// Output length assumed by the prior, as a fraction of the maximum output length.
const PRIOR_LENGTH_FRACTION: f64 = 0.5;

/// Returns the index of the bucket for an output of `tokens` tokens.
fn bucket_of(tokens: f64) -> usize {
    let position = (tokens.max(1.0).log2() * BUCKETS_PER_OCTAVE).floor();
    (position as usize).min(BUCKET_COUNT - 1)
}

/// Returns the shortest output length of a bucket, in tokens.
fn bucket_start(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
}

/// Output-length statistics of one route.
#[derive(Debug, Clone)]
pub struct OutputLengths {
    /// Weight of completed outputs, by bucket.
    completed: [f64; BUCKET_COUNT],
    /// Weight of truncated outputs, by bucket.
    truncated: [f64; BUCKET_COUNT],
    /// Probability that an output reaches the start of each bucket.
    survival: [f64; BUCKET_COUNT + 1],
}

impl OutputLengths {
    /// Creates statistics that hold only the prior, for outputs of at most `max_tokens` tokens.
    pub fn new(max_tokens: u32) -> Self {
        let mut lengths = OutputLengths {
            completed: [0.0; BUCKET_COUNT],
            truncated: [0.0; BUCKET_COUNT],
            survival: [1.0; BUCKET_COUNT + 1],
        };
        lengths.completed[bucket_of(f64::from(max_tokens) * PRIOR_LENGTH_FRACTION)] = PRIOR_WEIGHT;
        lengths.update_survival();
        lengths
    }

    /// Records an output of `tokens` tokens, which either ended by itself (`completed`) or was cut
    /// off or stopped at its limit.
    pub fn observe(&mut self, tokens: u32, completed: bool) {
        let counts = self.completed.iter_mut().chain(&mut self.truncated);
        counts.for_each(|count| *count *= OBSERVATION_DECAY);
        let bucket = bucket_of(f64::from(tokens));
        match completed {
            true => self.completed[bucket] += 1.0,
            false => self.truncated[bucket] += 1.0,
        }
        self.update_survival();
    }

    /// Recomputes the survival function from the observations.
    fn update_survival(&mut self) {
        let mut at_risk: f64 = self.completed.iter().chain(&self.truncated).sum();
        let mut surviving = 1.0;
        for bucket in 0..BUCKET_COUNT {
            self.survival[bucket] = surviving;
            if at_risk > f64::EPSILON {
                surviving *= 1.0 - (self.completed[bucket] / at_risk).min(1.0);
            }
            at_risk -= self.completed[bucket] + self.truncated[bucket];
        }
        self.survival[BUCKET_COUNT] = surviving;
    }

    /// Returns the probability that an output reaches `tokens` tokens, interpolated linearly within
    /// the bucket.
    fn survival_at(&self, tokens: f64) -> f64 {
        let bucket = bucket_of(tokens);
        let (start, end) = (bucket_start(bucket), bucket_start(bucket + 1));
        let fraction = ((tokens - start) / (end - start)).clamp(0.0, 1.0);
        self.survival[bucket] + (self.survival[bucket + 1] - self.survival[bucket]) * fraction
    }

    /// Returns the probability that an output with `produced` tokens reaches `tokens` tokens.
    pub fn probability_of_reaching(&self, tokens: f64, produced: f64) -> f64 {
        match self.survival_at(produced) {
            survived if survived <= f64::EPSILON => 1.0,
            survived => (self.survival_at(tokens) / survived).clamp(0.0, 1.0),
        }
    }

    /// Returns the expected number of further tokens of an output with `produced` tokens, limited
    /// to `max_tokens` in total.
    pub fn expected_remaining(&self, produced: f64, max_tokens: f64) -> f64 {
        // Integrates the survival function by the midpoint rule, in growing steps.
        let mut from = produced.max(1.0);
        let mut sum = 0.0;
        while from < max_tokens {
            let to = (from * 1.25 + 1.0).min(max_tokens);
            sum += (to - from) * self.probability_of_reaching((from + to) / 2.0, produced);
            from = to;
        }
        sum
    }
}
