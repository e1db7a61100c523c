//! `gypsumchute explain REQUEST-ID ADDRESS…`

use super::addresses;
use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use gypsumchute::ops::explain;
use std::net::SocketAddr;

#[derive(Debug, Clone)]
pub struct Args {
    request: String,
    addresses: Vec<SocketAddr>,
}

pub fn cli() -> impl Parser<Args> {
    let request = positional::<String>("REQUEST-ID").help("the X-Request-Id of an answer");
    let addresses = addresses();
    construct!(Args { request, addresses })
        .to_options()
        .descr("Tells what became of a request and why.")
        .command("explain")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        println!("{}", explain::explain(&self.request, &self.addresses)?);
        Ok(())
    }
}
