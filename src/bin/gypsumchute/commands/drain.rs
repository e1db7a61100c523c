//! `gypsumchute drain ADDRESS…`

use super::addresses;
use bpaf::{Parser, construct};
use gypsumchute::core::OpResult;
use gypsumchute::ops::drain;
use std::net::SocketAddr;

#[derive(Debug, Clone)]
pub struct Args {
    addresses: Vec<SocketAddr>,
}

pub fn cli() -> impl Parser<Args> {
    let addresses = addresses();
    construct!(Args { addresses })
        .to_options()
        .descr("Begins a graceful shutdown of processes: the entry process first, then control.")
        .command("drain")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        drain::drain(&self.addresses)
    }
}
