//! `gypsumchute show FOLDER`: prints the merged configuration.

use bpaf::{Parser, construct, positional};
use gypsumchute::core::OpResult;
use gypsumchute::ops::show;
use std::path::PathBuf;

#[derive(Debug, Clone)]
pub struct Args {
    folder: PathBuf,
}

pub fn parser() -> impl Parser<Args> {
    let folder = positional::<PathBuf>("FOLDER").help("Folder of configuration files");
    construct!(Args { folder })
        .to_options()
        .descr("Prints the merged configuration of a folder with defaults and without API keys.")
        .command("show")
}

impl Args {
    pub fn exec(self) -> OpResult<()> {
        println!("{}", show::show(&self.folder)?);
        Ok(())
    }
}
