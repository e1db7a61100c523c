//! `gypsumchute explain REQUEST-ID ADDRESS…`: prints the recorded steps of a request.

use super::addresses_parser;
use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use gypsumchute::ops::explain;
use std::net::SocketAddr;

#[derive(Debug, Clone)]
pub struct Args {
    request_id: String,
    addresses: Vec<SocketAddr>,
}

pub fn parser() -> impl Parser<Args> {
    let request_id = positional::<String>("REQUEST-ID").help("X-Request-Id header of the response");
    let addresses = addresses_parser();
    construct!(Args { request_id, addresses })
        .to_options()
        .descr("Prints the steps of a request and the reason for each decision.")
        .command("explain")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        println!("{}", explain::explain(&self.request_id, &self.addresses)?);
        Ok(())
    }
}
