//! Tests of the copy of a store that is restored from an older backup: nothing that VMs have acted
//! on is taken back, and what is written again is in force.

use bytes::Bytes;
use gypsumchute_fleet::{CopyProgress, StoreItem, StorePosition, StoreReplica, WriterOrder};
use proptest::prelude::*;

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn item(position: StorePosition, key: &str, order: WriterOrder, value: &str) -> StoreItem {
    let value = Some(Bytes::from(value.to_owned()));
    StoreItem { key: key.to_owned(), position, value, writer_order: order }
}

fn configuration(position: StorePosition, version: u64) -> StoreItem {
    item(position, "config", WriterOrder::Version(version), &format!("v{version}"))
}

fn endpoint(position: StorePosition, sequence: u64, state: &str) -> StoreItem {
    let order = WriterOrder::Incarnation { started_wall_ms: 5, sequence };
    item(position, "endpoint", order, state)
}

fn marker(position: StorePosition, key: &str) -> StoreItem {
    item(position, key, WriterOrder::Unknown, "out")
}

fn deletion(position: StorePosition, key: &str) -> StoreItem {
    let writer_order = WriterOrder::Unknown;
    StoreItem { key: key.to_owned(), position, value: None, writer_order }
}

/// Returns the values of all keys, as `KEY=VALUE`.
fn values(copy: &StoreReplica) -> Vec<String> {
    let value = |item: &StoreItem| item.value.clone().unwrap_or_default();
    copy.with_prefix("")
        .map(|item| format!("{}={}", item.key, String::from_utf8_lossy(&value(item))))
        .collect()
}

/// Sends the update that `receiver` lacks from `sender`, as two VMs would.
fn pull(receiver: &mut StoreReplica, sender: &StoreReplica) {
    let update = sender.update_since(receiver.progress());
    match update.is_snapshot {
        true => receiver.apply_listing(update.progress.position, update.items),
        false => receiver.apply(update.progress.position, update.items),
    };
    receiver.record_merged(update.progress.merged);
}

#[test]
fn a_value_written_after_a_restore_replaces_one_with_a_higher_revision() {
    let mut copy = StoreReplica::default();
    copy.apply(at(1, 18), vec![configuration(at(1, 18), 13), marker(at(1, 17), "zone")]);
    copy.apply_listing(at(2, 16), vec![configuration(at(2, 16), 10)]);
    assert_eq!(copy.position(), at(2, 16));
    assert_eq!(values(&copy), ["config=v13", "zone=out"]);
    let changed =
        copy.apply(at(2, 18), vec![configuration(at(2, 17), 16), deletion(at(2, 18), "zone")]);
    assert_eq!(changed, ["config", "zone"]);
    assert_eq!(values(&copy), ["config=v16"]);
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let mut copy = StoreReplica::default();
    copy.apply(at(1, 18), vec![configuration(at(1, 18), 13)]);
    assert!(copy.apply(at(1, 19), vec![configuration(at(1, 19), 12)]).is_empty());
    copy.apply_listing(at(2, 9), vec![configuration(at(2, 8), 10)]);
    // The operators write their configurations again, the older one first.
    assert!(copy.apply(at(2, 30), vec![configuration(at(2, 30), 11)]).is_empty());
    assert_eq!(values(&copy), ["config=v13"]);
    copy.drop_lost_keys();
    assert_eq!(values(&copy), ["config=v13"]);
}

#[test]
fn a_restored_store_takes_back_no_state_of_an_endpoint() {
    let mut copy = StoreReplica::default();
    copy.apply(at(1, 18), vec![endpoint(at(1, 18), 4, "draining")]);
    assert!(copy.apply_listing(at(2, 9), vec![endpoint(at(2, 8), 3, "ready")]).is_empty());
    assert!(!copy.has_lost_keys());
    assert_eq!(copy.apply(at(2, 10), vec![deletion(at(2, 10), "endpoint")]), ["endpoint"]);
    assert!(copy.apply_listing(at(3, 9), vec![endpoint(at(3, 8), 3, "ready")]).is_empty());
    // Registered again.
    assert_eq!(copy.apply(at(3, 10), vec![endpoint(at(3, 10), 5, "ready")]), ["endpoint"]);
    assert_eq!(values(&copy), ["endpoint=ready"]);
}

/// A deleted endpoint is not brought back by an entry with the last known sequence number either.
#[test]
fn a_deletion_comes_after_the_last_entry() {
    let mut copy = StoreReplica::default();
    copy.apply(at(1, 8), vec![endpoint(at(1, 8), 3, "ready")]);
    copy.apply(at(1, 9), vec![deletion(at(1, 9), "endpoint")]);
    assert!(copy.apply_listing(at(2, 8), vec![endpoint(at(2, 8), 3, "ready")]).is_empty());
    assert!(values(&copy).is_empty());
}

#[test]
fn an_unchanged_entry_of_a_restored_store_is_no_change() {
    let mut copy = StoreReplica::default();
    copy.apply(at(1, 8), vec![endpoint(at(1, 8), 3, "ready")]);
    assert!(copy.apply_listing(at(2, 8), vec![endpoint(at(2, 8), 3, "ready")]).is_empty());
    assert!(!copy.has_lost_keys());
}

#[test]
fn lost_keys_keep_their_values_until_they_are_dropped() {
    let mut copy = StoreReplica::default();
    let known = vec![
        endpoint(at(1, 18), 4, "ready"),
        marker(at(1, 17), "zone-a"),
        marker(at(1, 16), "zone-b"),
    ];
    copy.apply(at(1, 18), known);
    copy.apply_listing(at(2, 9), vec![]);
    assert_eq!(values(&copy), ["endpoint=ready", "zone-a=out", "zone-b=out"]);
    copy.apply(at(2, 10), vec![marker(at(2, 10), "zone-a")]);
    assert_eq!(copy.drop_lost_keys(), ["endpoint", "zone-b"]);
    assert_eq!(values(&copy), ["zone-a=out"]);
    assert_eq!(copy.apply(at(2, 11), vec![endpoint(at(2, 11), 5, "ready")]), ["endpoint"]);
}

/// A VM that starts after the restore and has read the store itself learns from others what the
/// store has lost, and drops it in time as well.
#[test]
fn a_vm_that_knows_only_the_restored_store_learns_from_its_peers() {
    let mut old = StoreReplica::default();
    old.apply(at(1, 18), vec![configuration(at(1, 18), 13), endpoint(at(1, 17), 4, "draining")]);
    old.apply(at(1, 19), vec![marker(at(1, 19), "zone")]);
    let restored = || vec![configuration(at(2, 8), 10), endpoint(at(2, 7), 3, "ready")];
    old.apply_listing(at(2, 9), restored());
    let mut new = StoreReplica::default();
    new.apply_listing(at(2, 9), restored());
    assert!(new.progress().is_behind(&old.progress()));
    pull(&mut new, &old);
    assert_eq!(values(&new), ["config=v13", "endpoint=draining", "zone=out"]);
    assert!(!new.progress().is_behind(&old.progress()));
    assert_eq!(
        (new.drop_lost_keys(), old.drop_lost_keys()),
        (vec!["zone".into()], vec!["zone".into()])
    );
    assert_eq!(values(&new), values(&old));
}

/// Two zones were cut off from each other, and only one of them saw the restore.
#[test]
fn copies_of_two_eras_agree_once_they_have_met() {
    let mut stayed = StoreReplica::default();
    stayed.apply(at(1, 50), vec![configuration(at(1, 40), 13), endpoint(at(1, 41), 3, "ready")]);
    let mut moved = StoreReplica::default();
    pull(&mut moved, &stayed);
    stayed.apply(at(1, 60), vec![configuration(at(1, 60), 15), endpoint(at(1, 59), 4, "draining")]);
    moved.apply_listing(
        at(2, 42),
        vec![configuration(at(2, 40), 13), endpoint(at(2, 41), 3, "ready")],
    );
    assert!(stayed.progress().is_behind(&moved.progress()));
    assert!(!moved.progress().is_behind(&stayed.progress()));
    pull(&mut stayed, &moved);
    assert!(moved.progress().is_behind(&stayed.progress()));
    pull(&mut moved, &stayed);
    assert_eq!(values(&moved), ["config=v15", "endpoint=draining"]);
    assert_eq!((values(&moved), moved.progress()), (values(&stayed), stayed.progress()));
}

/// A VM that missed one restore whole sees only the second.
#[test]
fn a_missed_era_loses_nothing() {
    let mut copy = StoreReplica::default();
    copy.apply(at(1, 18), vec![configuration(at(1, 18), 13), marker(at(1, 9), "zone")]);
    copy.apply_listing(at(3, 30), vec![configuration(at(3, 30), 20)]);
    assert_eq!(values(&copy), ["config=v20", "zone=out"]);
    assert_eq!(copy.drop_lost_keys(), ["zone"]);
    assert!(copy.update_since(CopyProgress { position: at(2, 40), merged: at(1, 1) }).is_snapshot);
}

proptest! {
    /// Changes of several eras that arrive in any order, more than once, leave the newest
    /// configuration and the last entry of an endpoint that never starts again.
    #[test]
    fn the_newest_configuration_and_entry_survive_any_order(
        eras in prop::collection::vec(prop::collection::vec(any::<bool>(), 1..6), 1..4),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let (mut events, mut version, mut sequence) = (Vec::new(), 0, 0);
        for (era, writes) in eras.iter().enumerate() {
            for (revision, is_configuration) in writes.iter().enumerate() {
                let position = at(era as u64 + 1, revision as u64 + 1);
                match is_configuration {
                    true => {
                        version += 1;
                        events.push(configuration(position, version));
                    }
                    false => {
                        sequence += 1;
                        events.push(endpoint(position, sequence, &format!("s{sequence}")));
                    }
                }
            }
        }
        let mut copy = StoreReplica::default();
        for index in order {
            let event = index.get(&events).clone();
            copy.apply(event.position, vec![event]);
        }
        let end = events.last().expect("an event").position;
        copy.apply(end, events);
        let mut expected = Vec::new();
        if version > 0 {
            expected.push(format!("config=v{version}"));
        }
        if sequence > 0 {
            expected.push(format!("endpoint=s{sequence}"));
        }
        prop_assert_eq!(values(&copy), expected);
    }
}
