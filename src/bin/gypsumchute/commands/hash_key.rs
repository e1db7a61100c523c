//! `gypsumchute hash-key --salt SALT`

use bpaf::{Parser, construct, long};
use gypsumchute::core::OpResult;
use gypsumchute::ops::hash_key::hash_key;
use std::io::{self, BufRead};

#[derive(Debug, Clone)]
pub struct Args {
    salt: String,
}

pub fn cli() -> impl Parser<Args> {
    let salt = long("salt").help("the fleet's key_salt").argument::<String>("SALT");
    construct!(Args { salt })
        .to_options()
        .descr(
            "Reads a caller's key from standard input and prints its hash for the configuration.",
        )
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
