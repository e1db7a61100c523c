//! Whose load, under which circumstances: customers, what they ask for and how often.

use gypsumchute_config::KeyHash;
use gypsumchute_standins::engine::EngineSpec;
use gypsumchute_units::ZoneId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::BTreeMap;
use strum::{Display, EnumString};

const SALT: &str = "bench-salt";
/// The route of long outputs.
pub const LONG_ROUTE: &str = "long";
/// The route of short outputs.
pub const SHORT_ROUTE: &str = "short";
/// The application route.
pub const APP_ROUTE: &str = "bookings";
const LONG_PROMPT_CHARS: usize = 320;
const SHORT_PROMPT_CHARS: usize = 80;
/// Longest wait for room that callers of the bench accept.
const QUEUE_WAIT_MS: u64 = 10_000;
/// Mean length of a long output, in tokens.
const LONG_MEAN_TOKENS: f64 = 220.0;
const LONG_MAX_TOKENS: f64 = 900.0;

/// Whose load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ScenarioName {
    /// Long condition surveys and short finish checks.
    LensTrust,
    /// Weekend drafts, pier summaries and availability checks.
    Flottbad,
}

/// Under which circumstances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Variant {
    /// Nothing unusual.
    Plain,
    /// One customer sends five times its rate.
    FiveTimes,
    /// An availability zone is taken out and comes back.
    ZoneOut,
    /// Half of the engines are in cold start at first.
    Cold,
    /// Engines' memory is tight enough to preempt.
    Tight,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    /// A generation of this length.
    Generation { route: &'static str, prompt: String, max_tokens: u32 },
    /// An availability check.
    Check,
}

/// One request to come.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When, from the start.
    pub at_ms: u64,
    /// Whose.
    pub customer: usize,
    /// What for.
    pub ask: Ask,
    /// Whether a single bucket for the whole fleet would admit it.
    pub in_rate: bool,
}

/// One customer's load.
#[derive(Debug, Clone)]
pub struct Customer {
    /// Its id.
    pub id: String,
    /// Requests a second that it sends.
    pub offered_per_s: f64,
    /// Requests a second that it may send.
    pub rate_per_s: f64,
    /// Requests that it may send at once.
    pub burst: f64,
}

/// A scenario with its sizes.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// Entry VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// Services.
    pub services: usize,
    /// What kind the engines are.
    pub spec: EngineSpec,
    /// Customers.
    pub customers: Vec<Customer>,
    /// Of a customer's requests, the part that is long, and the part that is a check.
    pub mix: (f64, f64),
    variant: Variant,
}

fn zones(names: [&str; 4]) -> Vec<ZoneId> {
    names.iter().map(|name| name.parse().expect("the scenarios' zones have valid ids")).collect()
}

impl Scenario {
    /// The scenario of this name.
    pub fn new(name: ScenarioName, variant: Variant) -> Self {
        let (zone_names, engines, mix, per_s) = match name {
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
            batch_limit: 16,
            memory_tokens: if tight { 1_300 } else { 12_000 },
            ..EngineSpec::default()
        };
        // A few large ones: half of the load comes from two of ten.
        let weights = [25.0, 25.0, 10.0, 8.0, 8.0, 6.0, 6.0, 5.0, 4.0, 3.0];
        let customers = weights
            .iter()
            .enumerate()
            .map(|(number, weight)| {
                let usual_per_s = per_s * weight / 100.0;
                let noisy = variant == Variant::FiveTimes && number == 2;
                Customer {
                    id: format!("customer-{number}"),
                    offered_per_s: usual_per_s * if noisy { 5.0 } else { 1.0 },
                    rate_per_s: usual_per_s * 1.3 + 0.5,
                    burst: (usual_per_s * 3.0 + 4.0).ceil(),
                }
            })
            .collect();
        Scenario {
            zones: zones(zone_names),
            vms: 9,
            engines,
            services: 4,
            spec,
            customers,
            mix,
            variant,
        }
    }

    /// The engine of this number, cold at first where the circumstances want it.
    pub fn engine_spec(&self, number: usize) -> EngineSpec {
        let cold = self.variant == Variant::Cold && number.is_multiple_of(2);
        EngineSpec { cold_ms: if cold { 8_000 } else { 0 }, cold_limit: 2, ..self.spec }
    }

    /// A customer's key.
    pub fn key(&self, customer: usize) -> String {
        format!("bench-key-{customer}")
    }

    /// The configuration files of customers and routes.
    pub fn files(&self) -> BTreeMap<String, String> {
        let customers: Vec<_> = self
            .customers
            .iter()
            .enumerate()
            .map(|(number, customer)| {
                let hash = KeyHash::of(SALT, &self.key(number));
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
                "id": id, "max_tokens": max, "queue_wait_ms": QUEUE_WAIT_MS,
            })
        };
        let routes = json!({
            "model_routes": [model(LONG_ROUTE, LONG_MAX_TOKENS as u32), model(SHORT_ROUTE, 64)],
            "app_routes": [{ "id": APP_ROUTE }],
        });
        BTreeMap::from([
            ("00-fleet.json".to_owned(), json!({ "fleet": { "key_salt": SALT } }).to_string()),
            ("20-customers.json".to_owned(), json!({ "customers": customers }).to_string()),
            ("30-routes.json".to_owned(), routes.to_string()),
        ])
    }

    /// All requests of a run, in the order of their times.
    pub fn arrivals(&self, seconds: u64, seed: u64) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (number, customer) in self.customers.iter().enumerate() {
            let mut at_s = 0.0;
            let (mut level, mut settled_s) = (customer.burst, 0.0);
            loop {
                at_s += -(1.0 - rng.random::<f64>()).ln() / customer.offered_per_s;
                if at_s >= seconds as f64 {
                    break;
                }
                level = (level + (at_s - settled_s) * customer.rate_per_s).min(customer.burst);
                settled_s = at_s;
                let in_rate = level >= 1.0;
                level -= if in_rate { 1.0 } else { 0.0 };
                let at_ms = (at_s * 1_000.0) as u64;
                let ask = self.ask(&mut rng, arrivals.len());
                arrivals.push(Arrival { at_ms, customer: number, ask, in_rate });
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at_ms);
        arrivals
    }

    fn ask(&self, rng: &mut StdRng, number: usize) -> Ask {
        let (long, check) = self.mix;
        let draw: f64 = rng.random();
        let filler = |chars: usize| "prism ".repeat(chars / 6);
        match draw {
            draw if draw < check => Ask::Check,
            draw if draw < check + long => {
                // Lengths spread over more than an octave to either side, unknown ahead.
                let spread = rng.random::<f64>() + rng.random::<f64>() + rng.random::<f64>();
                let tokens = LONG_MEAN_TOKENS * ((spread - 1.5) * 1.3).exp();
                let tokens = tokens.clamp(20.0, LONG_MAX_TOKENS) as u32;
                let text = filler(LONG_PROMPT_CHARS);
                Ask::Generation {
                    route: LONG_ROUTE,
                    prompt: format!("{number} {text} <len={tokens}>"),
                    max_tokens: LONG_MAX_TOKENS as u32,
                }
            }
            _ => {
                let tokens = rng.random_range(4..20);
                let text = filler(SHORT_PROMPT_CHARS);
                Ask::Generation {
                    route: SHORT_ROUTE,
                    prompt: format!("{number} {text} <len={tokens}>"),
                    max_tokens: 64,
                }
            }
        }
    }
}
