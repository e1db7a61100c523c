//! Integration tests by feature: daemons with a stand-in store and stand-in endpoints that simulate
//! failures.

mod crash_spread;
mod cut_off_vms;
mod endless_responses;
mod events;
mod fleet;
mod folder;
mod generations;
mod leaving_endpoints;
mod links;
mod odd_entries;
mod out_of_step;
mod paused_endpoints;
mod peer_sync;
mod plain;
mod poison;
mod poison_segments;
mod request_limits;
mod restored_store;
mod retry_budget;
mod shutdown;
mod simulated_fleet;
mod software_versions;
mod store_reader;
mod support;
mod unframed_responses;
