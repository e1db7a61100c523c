//! `gypsumchute losses FILE`: counts requests that were not answered whole by cause.

use bpaf::{Parser, construct, positional};
use gypsumchute::core::{OpError, OpResult};
use gypsumchute::ops::losses;
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

#[derive(Debug, Clone)]
pub struct Args {
    file: PathBuf,
}

pub fn parser() -> impl Parser<Args> {
    let file =
        positional::<PathBuf>("FILE").help("Logs of one or more daemons, one after the other");
    construct!(Args { file })
        .to_options()
        .descr("Counts the requests in daemons' logs that were not answered whole, by cause.")
        .command("losses")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        let file = File::open(&self.file).map_err(|err| {
            let what = format!("cannot read {}", self.file.display());
            OpError::failed(what, err, "pass a file with the daemons' logs")
        })?;
        println!("{}", losses::losses(BufReader::new(file))?);
        Ok(())
    }
}
