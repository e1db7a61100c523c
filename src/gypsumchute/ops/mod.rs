//! Operations of the command and of the process binaries, one module per operation.

pub mod bench;
pub mod check;
pub mod demo;
pub mod drain;
pub mod embedded;
pub mod explain;
pub mod hash_key;
pub mod losses;
pub mod run;
pub mod show;
pub mod status;
