//! Integration tests of the routing crate.

mod admission;
mod budget;
mod compile;
mod continuity;
mod endpoints;
mod load;
mod outcomes;
mod placement;
mod shutdown;
mod support;
mod table;
mod warmup;
