//! Tests by feature: daemons with a store and endpoints that misbehave as they are told.

mod events;
mod fleet;
mod folder;
mod generations;
mod plain;
mod poison;
mod pulls;
mod reading;
mod shutdown;
mod support;
