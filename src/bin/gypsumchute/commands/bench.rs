//! `gypsumchute bench SCENARIO`

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

pub fn cli() -> impl Parser<Args> {
    let scenario = positional::<ScenarioName>("SCENARIO").help("lens-trust or flottbad");
    let variant = long("variant")
        .help("plain, five-times, zone-out, cold or tight")
        .argument::<Variant>("VARIANT")
        .fallback(Variant::Plain);
    let seconds = long("seconds")
        .help("how long requests arrive, 5 to 30")
        .argument::<u64>("SECONDS")
        .guard(|seconds| (5..=30).contains(seconds), "write 5 to 30 seconds")
        .fallback(20);
    let seed = long("seed").help("what arrivals are drawn from").argument("SEED").fallback(1);
    let json = long("json").help("print JSON").switch();
    construct!(Args { variant, seconds, seed, json, scenario })
        .to_options()
        .descr("Sends a load through an embedded fleet and past it, and prints what each showed.")
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
