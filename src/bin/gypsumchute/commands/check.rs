//! `gypsumchute check FOLDER`

use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use gypsumchute::ops::check;
use std::path::PathBuf;

#[derive(Debug, Clone)]
pub struct Args {
    folder: PathBuf,
}

pub fn cli() -> impl Parser<Args> {
    let folder = positional::<PathBuf>("FOLDER").help("folder of configuration files");
    construct!(Args { folder })
        .to_options()
        .descr("Merges a folder in name order and says what is wrong with it.")
        .command("check")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        println!("{}", check::check(&self.folder)?);
        Ok(())
    }
}
