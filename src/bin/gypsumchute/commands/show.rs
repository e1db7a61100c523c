//! `gypsumchute show FOLDER`

use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use gypsumchute::ops::show;
use std::path::PathBuf;

#[derive(Debug, Clone)]
pub struct Args {
    folder: PathBuf,
}

pub fn cli() -> impl Parser<Args> {
    let folder = positional::<PathBuf>("FOLDER").help("folder of configuration files");
    construct!(Args { folder })
        .to_options()
        .descr("Prints what a folder merges to, with defaults, without keys.")
        .command("show")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        println!("{}", show::show(&self.folder)?);
        Ok(())
    }
}
