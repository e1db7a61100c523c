//! `gypsumchute check FOLDER`: validates a folder of configuration files.

use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use gypsumchute::ops::check;
use std::path::PathBuf;

#[derive(Debug, Clone)]
pub struct Args {
    folder: PathBuf,
}

pub fn parser() -> impl Parser<Args> {
    let folder = positional::<PathBuf>("FOLDER").help("Folder of configuration files");
    construct!(Args { folder })
        .to_options()
        .descr("Merges the files of a folder in name order and reports all errors.")
        .command("check")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        println!("{}", check::check(&self.folder)?);
        Ok(())
    }
}
