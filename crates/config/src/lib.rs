//! Configuration of the fleet and settings of each process.
//!
//! A configuration is a folder of files in JSON with comments. [`folder`] reads the files,
//! [`merge`] merges them in the order of their names, [`schema`] defines the items, and [`fleet`]
//! validates the result and builds a [`FleetConfig`]. [`settings`] defines the settings file of
//! each process.
//!
//! ```
//! use gypsumchute_config::FleetConfig;
//! use std::collections::BTreeMap;
//!
//! let mut files = BTreeMap::new();
//! files.insert("10-zones.json".to_owned(), r#"{ "zones": [{ "id": "umea-b" }] }"#.to_owned());
//! let config = FleetConfig::from_files(1, &files).unwrap();
//! assert_eq!(config.zones.len(), 1);
//! ```

pub mod error;
pub mod fleet;
pub mod folder;
pub mod keys;
pub mod merge;
pub mod schema;
pub mod settings;

pub use error::{ConfigError, ConfigErrors, SourceLocation};
pub use fleet::{FleetConfig, Route, RouteKind};
pub use keys::KeyHash;
pub use schema::{
    AppRoute, CallerLimits, Customer, Endpoint, EndpointState, EngineSpec, FleetSettings,
    IsolationPolicy, KeyRevocationPolicy, ModelRoute, PathRoute, Service, TrafficKind,
    WeightedService, Zone, ZoneState,
};
pub use settings::{
    ConfigSource, ControlSettings, DaemonSettings, EntrySettings, FeatureMode, FeatureSettings,
    SeedPeer, read_settings,
};
