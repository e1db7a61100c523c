//! Integration tests of the routing crate, one module per module of the crate.

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
