//! `gypsumchute demo`: runs a small fleet on loopback.

use bpaf::{Parser, construct, long};
use gypsumchute::core::OpResult;
use gypsumchute::ops::demo;
use std::io;

#[derive(Debug, Clone)]
pub struct Args {
    serve: bool,
}

pub fn parser() -> impl Parser<Args> {
    let serve = long("serve").help("Keep the demo running and print example requests").switch();
    construct!(Args { serve })
        .to_options()
        .descr("Starts two daemons on loopback and sends a generation and a booking through them.")
        .command("demo")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        let demo = demo::start()?;
        let mut out = io::stdout().lock();
        demo::run(&demo, &mut out)?;
        if self.serve {
            demo::serve(&demo, &mut out)?;
        }
        Ok(())
    }
}
