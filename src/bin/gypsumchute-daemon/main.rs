//! `gypsumchute-daemon [SETTINGS]`: runs the daemon of one VM.

use bpaf::{OptionParser, Parser, positional};
use gypsumchute_config::{DaemonSettings, read_settings};
use gypsumchute_telemetry::logs::{FlushOnDrop, init_bounded_stdout};
use std::path::PathBuf;
use std::process::ExitCode;

fn options() -> OptionParser<PathBuf> {
    positional("SETTINGS")
        .help("Settings file (JSON with comments); default: the file named by GYPSUMCHUTE_CONFIG")
        .optional()
        .map(|path: Option<PathBuf>| {
            let from_environment = std::env::var_os("GYPSUMCHUTE_CONFIG").map(PathBuf::from);
            path.or(from_environment).unwrap_or_default()
        })
        .to_options()
        .descr("Routes client requests to endpoints on one VM of the fleet")
}

fn main() -> ExitCode {
    let path = options().run();
    match init_bounded_stdout() {
        Ok(()) => gypsumchute_daemon::supervision::log_panics(),
        Err(err) => {
            eprintln!("error: failed to initialize logging: {err}; continuing without log output");
        }
    }
    let _flush = FlushOnDrop;
    let started = read_settings::<DaemonSettings>(&path).map_err(|err| err.to_string()).and_then(
        |settings| gypsumchute_daemon::process::run(&path, settings).map_err(|err| err.to_string()),
    );
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            log::error!(error = err.as_str(); "daemon failed");
            ExitCode::FAILURE
        }
    }
}
