//! Tests by feature: daemons with a store and endpoints that misbehave as they are told.

mod events;
mod fleet;
mod folder;
mod generations;
mod peer_sync;
mod plain;
mod poison;
mod shutdown;
mod store_reader;
mod support;
