//! `gypsumchute hash-key --salt SALT`: computes the hash of an API key.

use bpaf::{Parser, construct, long};
use gypsumchute::core::OpResult;
use gypsumchute::ops::hash_key::hash_key;
use std::io::{self, BufRead};

#[derive(Debug, Clone)]
pub struct Args {
    salt: String,
}

pub fn parser() -> impl Parser<Args> {
    let salt = long("salt").help("key_salt of the fleet").argument::<String>("SALT");
    construct!(Args { salt })
        .to_options()
        .descr("Reads an API key from standard input and prints the hash for the configuration.")
        .command("hash-key")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        let mut key = String::new();
        io::stdin().lock().read_line(&mut key)?;
        println!("{}", hash_key(&self.salt, &key));
        Ok(())
    }
}
