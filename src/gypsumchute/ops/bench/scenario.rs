//! Scenarios of the benchmark: zones, engines, customers, and the requests that customers send.

use gypsumchute_config::KeyHash;
use gypsumchute_standins::engine::EngineSpec;
use gypsumchute_units::ZoneId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use strum::{Display, EnumString};

/// Salt of the API key hashes.
const KEY_SALT: &str = "bench-salt";
/// Id of the model route with long outputs.
pub const LONG_ROUTE: &str = "long";
/// Id of the model route with short outputs.
pub const SHORT_ROUTE: &str = "short";
/// Id of the application route.
pub const APP_ROUTE: &str = "bookings";
/// Approximate length of prompts with long outputs, in characters.
const LONG_PROMPT_CHARS: usize = 320;
/// Approximate length of prompts with short outputs, in characters.
const SHORT_PROMPT_CHARS: usize = 80;
/// Maximum time that a generation waits in the admission queue, in milliseconds.
const MAX_QUEUE_WAIT_MS: u64 = 10_000;
/// Median length of a long output, in tokens.
const LONG_MEDIAN_TOKENS: f64 = 220.0;
/// Maximum length of a long output, in tokens.
const LONG_MAX_TOKENS: f64 = 900.0;

/// Workload of a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ScenarioName {
    /// 40 % long generations (condition surveys), 50 % short generations (finish checks) and 10 %
    /// availability checks.
    LensTrust,
    /// 25 % long generations (weekend drafts), 40 % short generations (pier summaries) and 35 %
    /// availability checks.
    Flottbad,
}

/// Condition under which a workload runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Variant {
    /// Normal operation.
    Plain,
    /// One customer sends five times the normal load.
    FiveTimes,
    /// An availability zone is taken out of service and put back.
    ZoneOut,
    /// Half of the engines begin in cold start.
    Cold,
    /// The KV cache of the engines is so small that generations are preempted.
    Tight,
}

/// Operation that a request performs.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Generation with a maximum output length.
    Generation { route: &'static str, prompt: String, max_tokens: u32 },
    /// GET request to the bookings application for what is available. Not a health check.
    AvailabilityCheck,
}

/// Scheduled request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Send time since the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Number of the customer that sends the request: the index in [`Scenario::customers`].
    pub customer: usize,
    /// Operation that the request performs.
    pub operation: Operation,
    /// Whether a single token bucket for the whole fleet would admit the request.
    pub within_rate: bool,
}

/// Load and rate limit of one customer.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Customer id.
    pub id: String,
    /// Requests per second that the customer sends.
    pub offered_per_s: f64,
    /// Rate limit of the customer, in requests per second.
    pub rate_per_s: f64,
    /// Burst limit of the customer, in requests.
    pub burst: f64,
}

/// Fleet size, customers and request mix of a benchmark run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// Number of VMs.
    pub vm_count: usize,
    /// Number of engines.
    pub engine_count: usize,
    /// Number of services.
    pub service_count: usize,
    /// Engine configuration without the cold start.
    pub spec: EngineSpec,
    /// Customers in the order of their numbers.
    pub customers: Vec<Customer>,
    /// Fractions of requests that are long generations and availability checks; the remaining ones
    /// are short generations.
    pub mix: (f64, f64),
    variant: Variant,
}

/// Parses zone ids.
fn parse_zones(zone_names: [&str; 4]) -> Vec<ZoneId> {
    zone_names
        .iter()
        .map(|name| name.parse().expect("the scenarios' zones have valid ids"))
        .collect()
}

impl Scenario {
    /// Returns the scenario for a workload and a condition.
    pub fn new(name: ScenarioName, variant: Variant) -> Self {
        let (zone_names, engine_count, mix, total_per_s) = match name {
            ScenarioName::LensTrust => {
                (["jm-south-a", "jm-south-b", "jm-south-c", "jm-south-d"], 10, (0.4, 0.1), 18.0)
            }
            ScenarioName::Flottbad => {
                (["lulea-a", "umea-b", "skelleftea-c", "pitea-d"], 20, (0.25, 0.35), 44.0)
            }
        };
        let tight = variant == Variant::Tight;
        let spec = EngineSpec {
            step_ms: 20,
            max_batch_size: 16,
            kv_cache_tokens: if tight { 1_300 } else { 12_000 },
            ..EngineSpec::default()
        };
        // Percentage of the load per customer. The load is skewed: two of ten customers send half.
        let weights = [25.0, 25.0, 10.0, 8.0, 8.0, 6.0, 6.0, 5.0, 4.0, 3.0];
        let customers = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| {
                let normal_per_s = total_per_s * weight / 100.0;
                let over_rate = variant == Variant::FiveTimes && number == 2;
                Customer {
                    id: format!("customer-{number}"),
                    offered_per_s: normal_per_s * if over_rate { 5.0 } else { 1.0 },
                    rate_per_s: normal_per_s * 1.3 + 0.5,
                    burst: (normal_per_s * 3.0 + 4.0).ceil(),
                }
            })
            .collect();
        Scenario {
            zones: parse_zones(zone_names),
            vm_count: 9,
            engine_count,
            service_count: 4,
            spec,
            customers,
            mix,
            variant,
        }
    }

    /// Returns the configuration of an engine. With [`Variant::Cold`], engines with an even number
    /// begin in cold start.
    pub fn engine_spec(&self, number: usize) -> EngineSpec {
        let cold = self.variant == Variant::Cold && number.is_multiple_of(2);
        EngineSpec { cold_start_ms: if cold { 8_000 } else { 0 }, cold_start_limit: 2, ..self.spec }
    }

    /// Returns the API key of a customer.
    pub fn key(&self, customer: usize) -> String {
        format!("bench-key-{customer}")
    }

    /// Returns the contents of the configuration files for customers and routes, by file name.
    pub fn files(&self) -> BTreeMap<String, String> {
        let customers: Vec<_> = self
            .customers
            .iter()
            .enumerate()
            .map(|(number, customer)| {
                let hash = KeyHash::of(KEY_SALT, &self.key(number));
                json!({
                    "id": customer.id,
                    "rate_per_s": customer.rate_per_s,
                    "burst": customer.burst,
                    "keys": [{ "id": "first", "sha256": hash }],
                })
            })
            .collect();
        let model = |id: &str, max: u32| {
            json!({
                "id": id, "max_tokens": max, "queue_wait_ms": MAX_QUEUE_WAIT_MS,
            })
        };
        let routes = json!({
            "model_routes": [model(LONG_ROUTE, LONG_MAX_TOKENS as u32), model(SHORT_ROUTE, 64)],
            "app_routes": [{ "id": APP_ROUTE }],
        });
        BTreeMap::from([
            ("00-fleet.json".to_owned(), json!({ "fleet": { "key_salt": KEY_SALT } }).to_string()),
            ("20-customers.json".to_owned(), json!({ "customers": customers }).to_string()),
            ("30-routes.json".to_owned(), routes.to_string()),
        ])
    }

    /// Generates all requests of a run, ordered by send time. The requests of each customer arrive
    /// as a Poisson process.
    pub fn arrivals(&self, seconds: u64, seed: u64) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (number, customer) in self.customers.iter().enumerate() {
            let mut at_s = 0.0;
            let (mut bucket_level, mut refilled_at_s) = (customer.burst, 0.0);
            loop {
                at_s += -(1.0 - rng.random::<f64>()).ln() / customer.offered_per_s;
                if at_s >= seconds as f64 {
                    break;
                }
                bucket_level = (bucket_level + (at_s - refilled_at_s) * customer.rate_per_s)
                    .min(customer.burst);
                refilled_at_s = at_s;
                let within_rate = bucket_level >= 1.0;
                bucket_level -= if within_rate { 1.0 } else { 0.0 };
                let at_ms = (at_s * 1_000.0) as u64;
                let operation = self.draw_operation(&mut rng, arrivals.len());
                arrivals.push(Arrival { at_ms, customer: number, operation, within_rate });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    /// Draws the operation of a request. `number` makes each prompt unique.
    fn draw_operation(&self, rng: &mut StdRng, number: usize) -> Operation {
        let (long, check) = self.mix;
        let draw: f64 = rng.random();
        let filler = |chars: usize| "prism ".repeat(chars / 6);
        match draw {
            draw if draw < check => Operation::AvailabilityCheck,
            draw if draw < check + long => {
                // Output lengths vary by more than a factor of two in both directions, and the
                // system does not learn the length in advance.
                let spread = rng.random::<f64>() + rng.random::<f64>() + rng.random::<f64>();
                let tokens = LONG_MEDIAN_TOKENS * ((spread - 1.5) * 1.3).exp();
                let tokens = tokens.clamp(20.0, LONG_MAX_TOKENS) as u32;
                let text = filler(LONG_PROMPT_CHARS);
                Operation::Generation {
                    route: LONG_ROUTE,
                    prompt: format!("{number} {text} <len={tokens}>"),
                    max_tokens: LONG_MAX_TOKENS as u32,
                }
            }
            _ => {
                let tokens = rng.random_range(4..20);
                let text = filler(SHORT_PROMPT_CHARS);
                Operation::Generation {
                    route: SHORT_ROUTE,
                    prompt: format!("{number} {text} <len={tokens}>"),
                    max_tokens: 64,
                }
            }
        }
    }
}
