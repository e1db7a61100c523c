//! `gypsumchute bench SCENARIO`: compares the system with two baselines under load.

use bpaf::{Parser, construct, long, positional};
use gypsumchute::core::OpResult;
use gypsumchute::ops::bench::{self, Options, ScenarioName, Variant};

#[derive(Debug, Clone)]
pub struct Args {
    variant: Variant,
    seconds: u64,
    seed: u64,
    json: bool,
    scenario: ScenarioName,
}

pub fn parser() -> impl Parser<Args> {
    let scenario = positional::<ScenarioName>("SCENARIO").help("Workload: lens-trust or flottbad");
    let variant = long("variant")
        .help("Condition: plain, five-times, zone-out, cold or tight")
        .argument::<Variant>("VARIANT")
        .fallback(Variant::Plain);
    let seconds = long("seconds")
        .help("Duration of the load in seconds, 5 to 30")
        .argument::<u64>("SECONDS")
        .guard(|seconds| (5..=30).contains(seconds), "must be 5 to 30 seconds")
        .fallback(20);
    let seed = long("seed").help("Seed of the random arrivals").argument("SEED").fallback(1);
    let json = long("json").help("Print the report as JSON").switch();
    construct!(Args { variant, seconds, seed, json, scenario })
        .to_options()
        .descr("Sends the same load to an embedded fleet and to two baselines and compares them.")
        .command("bench")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        let options = Options {
            scenario: self.scenario,
            variant: self.variant,
            seconds: self.seconds,
            seed: self.seed,
        };
        let report = bench::run(options)?;
        match self.json {
            true => println!("{}", report.to_json()),
            false => println!("{}", report.to_table()),
        }
        Ok(())
    }
}
