//! `gypsumchute drain ADDRESS…`: starts the graceful shutdown of processes.

use super::addresses_parser;
use bpaf::{Parser, construct};
use gypsumchute::core::OpResult;
use gypsumchute::ops::drain;
use std::net::SocketAddr;

#[derive(Debug, Clone)]
pub struct Args {
    addresses: Vec<SocketAddr>,
}

pub fn parser() -> impl Parser<Args> {
    let addresses = addresses_parser();
    construct!(Args { addresses })
        .to_options()
        .descr("Starts a graceful shutdown of processes; pass entry processes before control.")
        .command("drain")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        drain::drain(&self.addresses)
    }
}
