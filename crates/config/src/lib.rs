//! The configuration that operators write and the settings that each process reads.
//!
//! A configuration is a folder of small files of JSON with comments, merged in the order of their
//! names ([`merge`]). [`schema`] says what each item looks like, [`fleet`] checks the whole and
//! gives it the form that the decisions use. [`settings`] holds the file each process starts from.
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

pub use error::{ConfigError, ConfigErrors, Place};
pub use fleet::{FleetConfig, Route, RouteKind};
pub use keys::KeyHash;
pub use schema::{
    AppRoute, CallerLimits, Carries, Customer, CutOff, Endpoint, EndpointState, Engine, Fleet,
    KeyWithdrawal, ModelRoute, PathRoute, Service, ServicePart, Zone, ZoneState,
};
pub use settings::{
    ConfigurationSource, ControlSettings, DaemonSettings, EntrySettings, SeedPeer, read_settings,
};
