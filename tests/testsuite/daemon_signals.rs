//! Signals to a daemon process while it serves streams.

use crate::daemons::DaemonFleet;
use crate::support::wait_until;
use gypsumchute_platform_standin::fixtures::{
    API_KEY, configuration, generation_request, register_endpoint,
};
use gypsumchute_platform_standin::{Behaviour, Endpoint, SharedEndpointState, Store};
use std::fs;
use std::thread;
use std::time::Duration;

/// Time until a started daemon is ready.
const START_LIMIT: Duration = Duration::from_secs(15);
/// An engine whose streams last a second.
const ENGINE: Behaviour = Behaviour::Streams { events: 50, event_interval_ms: 20 };

/// Guards against LOST: streams that are cut by a SIGHUP, which finds the settings changed, half written
/// or missing, or by a configuration that arrives with it.
#[test]
fn streams_outlive_reloads_of_broken_settings() {
    let (store, state) = (Store::start(), SharedEndpointState::default());
    store.configure(&configuration(7, &[API_KEY]));
    let engine = Endpoint::start(&state, "engine-1", ENGINE);
    register_endpoint(&store, &engine, "engines", "a", "ready");
    let fleet = DaemonFleet::start(store.address(), 215, &["a"]);
    let daemon = &fleet.daemons[0];
    assert!(wait_until(START_LIMIT, || daemon.is_ready()), "the daemon is not ready");
    let path = fleet.settings_dir.path().join("vm-0.json");
    let text = fs::read_to_string(&path).expect("settings");
    let callers: Vec<_> = (0..4)
        .map(|n| {
            let mut stream = generation_request("briefs", &format!("r{n}")).send(daemon.callers());
            stream.next_chunk().expect("open stream").expect("first event");
            thread::spawn(move || stream.read_to_end())
        })
        .collect();
    for version in 8..20 {
        match version % 3 {
            0 => fs::write(&path, &text[..text.len() / 2]).expect("settings are written"),
            1 => fs::write(&path, text.replace("0.2", "0.3")).expect("settings are written"),
            _ => fs::remove_file(&path).expect("settings are removed"),
        }
        daemon.process.reload();
        store.configure(&configuration(version, &[API_KEY]));
        thread::sleep(Duration::from_millis(50));
    }
    for caller in callers {
        let reply = caller.join().expect("caller");
        assert!(reply.complete && reply.body.ends_with("token 50\n\n"), "{}", reply.body);
    }
}
