//! `gypsumchute`: command-line tool for operators.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse().exec() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::FAILURE
        }
    }
}
