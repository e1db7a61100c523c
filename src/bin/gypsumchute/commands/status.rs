//! `gypsumchute status ADDRESS…`: prints the status of control processes.

use super::addresses_parser;
use bpaf::{Parser, construct, long};
use gypsumchute::core::OpResult;
use gypsumchute::ops::status;
use std::net::SocketAddr;

#[derive(Debug, Clone)]
pub struct Args {
    json: bool,
    addresses: Vec<SocketAddr>,
}

pub fn parser() -> impl Parser<Args> {
    let json = long("json").help("Print the statuses as JSON").switch();
    let addresses = addresses_parser();
    construct!(Args { json, addresses })
        .to_options()
        .descr("Prints the status of each control process that answers.")
        .command("status")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        let statuses = status::collect(&self.addresses);
        match self.json {
            true => println!("{}", status::to_json(&statuses)),
            false => println!("{}", status::to_table(&statuses)),
        }
        Ok(())
    }
}
