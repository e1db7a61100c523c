//! `gypsumchute-control SETTINGS`: runs the control process of one VM.

use bpaf::{Parser, construct, positional};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Debug, Clone)]
struct Args {
    settings: PathBuf,
}

fn options() -> bpaf::OptionParser<Args> {
    let settings = positional::<PathBuf>("SETTINGS").help("Settings file (JSON with comments)");
    construct!(Args { settings }).to_options().version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    match gypsumchute::ops::run::control(&options().run().settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
