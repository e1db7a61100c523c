//! Tests that the copy of the platform's store never returns to an older value, in whatever order
//! changes arrive.

use bytes::Bytes;
use gypsumchute_fleet::{CopyProgress, StoreItem, StorePosition, StoreReplica, WriterOrder};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn item(key: &str, revision: u64, value: Option<&str>) -> StoreItem {
    let value = value.map(|value| Bytes::from(value.to_owned()));
    StoreItem {
        key: key.to_owned(),
        position: at(revision),
        value,
        writer_order: WriterOrder::Unknown,
    }
}

/// Returns a position in a store that was never restored.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

/// Returns the progress of a copy that is complete up to `revision`.
fn progress(revision: u64) -> CopyProgress {
    CopyProgress { position: at(revision), ..CopyProgress::default() }
}

fn rendered_items(copy: &StoreReplica) -> Vec<String> {
    let items = copy.with_prefix("");
    items
        .map(|item| {
            let value = item.value.clone().unwrap_or_default();
            format!("{}@{}={}", item.key, item.position.revision, String::from_utf8_lossy(&value))
        })
        .collect()
}

#[test]
fn an_older_value_does_not_replace_a_newer_one() {
    let mut copy = StoreReplica::default();
    assert_eq!(copy.apply(at(7), vec![item("a", 7, Some("new"))]), ["a"]);
    assert!(copy.apply(at(9), vec![item("a", 5, Some("old"))]).is_empty());
    assert!(copy.apply(at(9), vec![item("a", 6, None)]).is_empty());
    assert_eq!((copy.position(), rendered_items(&copy)), (at(9), vec!["a@7=new".to_owned()]));
}

#[test]
fn a_stale_peer_does_not_restore_a_deleted_key() {
    let mut copy = StoreReplica::default();
    copy.apply(at(4), vec![item("a", 4, Some("x"))]);
    copy.apply(at(6), vec![item("a", 6, None)]);
    assert!(copy.apply(at(5), vec![item("a", 4, Some("x"))]).is_empty());
    assert!(copy.get("a").is_none());
}

#[test]
fn a_listing_deletes_missing_keys_but_not_newer_ones() {
    let mut copy = StoreReplica::default();
    let known = vec![item("a", 3, Some("x")), item("b", 4, Some("y")), item("c", 9, Some("z"))];
    copy.apply(at(9), known);
    let changed = copy.apply_listing(at(8), vec![item("a", 3, Some("x"))]);
    assert_eq!(changed, ["b"]);
    assert_eq!(rendered_items(&copy), ["a@3=x", "c@9=z"]);
}

#[test]
fn a_stale_vm_gets_an_incremental_update_and_a_new_vm_gets_a_snapshot() {
    let mut copy = StoreReplica::default();
    copy.apply(at(4), vec![item("a", 3, Some("x")), item("b", 4, Some("y"))]);
    copy.apply(at(6), vec![item("a", 6, None)]);
    let update = copy.update_since(progress(4));
    assert_eq!((update.is_snapshot, update.items), (false, vec![item("a", 6, None)]));
    let snapshot = copy.update_since(progress(0));
    assert_eq!((snapshot.is_snapshot, snapshot.items), (true, vec![item("b", 4, Some("y"))]));
}

#[test]
fn a_vm_that_missed_dropped_deletions_gets_a_snapshot() {
    let mut copy = StoreReplica::default();
    copy.apply(at(1), vec![item("kept", 1, Some("x"))]);
    for revision in 2..6_000 {
        copy.apply(at(revision), vec![item(&format!("k{revision}"), revision, None)]);
    }
    assert!(copy.update_since(progress(2)).is_snapshot);
    assert!(!copy.update_since(progress(5_990)).is_snapshot);
}

/// History of the store: each revision writes or deletes one of a few keys.
fn history() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0u8..5, any::<bool>()), 1..40)
}

/// A VM that has started from a snapshot does not know which keys were deleted before it.
#[test]
fn a_copy_that_began_with_a_snapshot_passes_on_earlier_deletions() {
    let mut survivor = StoreReplica::default();
    survivor.apply(at(5), vec![item("gone", 4, Some("x")), item("kept", 5, Some("y"))]);
    let mut started = StoreReplica::default();
    started.apply_listing(at(9), vec![item("kept", 5, Some("y"))]);
    started.apply(at(11), vec![item("later", 11, Some("z"))]);
    let update = started.update_since(survivor.progress());
    match update.is_snapshot {
        true => drop(survivor.apply_listing(update.progress.position, update.items)),
        false => drop(survivor.apply(update.progress.position, update.items)),
    }
    assert_eq!(rendered_items(&survivor), ["kept@5=y", "later@11=z"]);
    assert!(!started.update_since(progress(10)).is_snapshot, "it knows all deletions since 9");
}

proptest! {
    #[test]
    fn copies_agree_after_changes_in_any_order(
        history in history(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let events: Vec<StoreItem> = history
            .iter()
            .enumerate()
            .map(|(index, (key, deleted))| {
                let value = (!deleted).then_some("v");
                item(&format!("key-{key}"), index as u64 + 1, value)
            })
            .collect();
        let mut expected: BTreeMap<String, u64> = BTreeMap::new();
        for event in &events {
            match event.value {
                Some(_) => drop(expected.insert(event.key.clone(), event.position.revision)),
                None => drop(expected.remove(&event.key)),
            }
        }
        let mut copy = StoreReplica::default();
        for index in order {
            let event = index.get(&events).clone();
            let before: BTreeMap<_, _> =
                copy.with_prefix("").map(|item| (item.key.clone(), item.position.revision)).collect();
            copy.apply(at(0), vec![event]);
            for item in copy.with_prefix("") {
                let known = before.get(&item.key).copied().unwrap_or(0);
                prop_assert!(item.position.revision >= known, "{} returned to an older revision", item.key);
            }
        }
        copy.apply(at(events.len() as u64), events);
        let known: BTreeMap<_, _> =
            copy.with_prefix("").map(|item| (item.key.clone(), item.position.revision)).collect();
        prop_assert_eq!(known, expected);
    }
}

/// One step in the life of a few copies.
#[derive(Debug, Clone)]
enum Step {
    /// The store changes or deletes a key.
    Write { key: u8, deleted: bool },
    /// A copy reads the changes that it lacks from the store.
    Watch { copy: usize },
    /// A copy reads a listing of the store.
    List { copy: usize },
    /// A copy reads from another one what it lacks.
    Pull { copy: usize, from: usize },
    /// A VM starts again, without a copy.
    Restart { copy: usize },
}

const COPIES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let copy = 0..COPIES;
    prop_oneof![
        4 => (0u8..5, any::<bool>()).prop_map(|(key, deleted)| Step::Write { key, deleted }),
        2 => copy.clone().prop_map(|copy| Step::Watch { copy }),
        1 => copy.clone().prop_map(|copy| Step::List { copy }),
        4 => (copy.clone(), copy.clone()).prop_map(|(copy, from)| Step::Pull { copy, from }),
        1 => copy.prop_map(|copy| Step::Restart { copy }),
    ]
}

/// Applies to `copy` what `from` sends to it, as a VM that is behind does.
fn pull(copies: &mut [StoreReplica], copy: usize, from: usize) {
    if !copies[copy].progress().is_behind(&copies[from].progress()) {
        return;
    }
    let update = copies[from].update_since(copies[copy].progress());
    match update.is_snapshot {
        true => copies[copy].apply_listing(update.progress.position, update.items),
        false => copies[copy].apply(update.progress.position, update.items),
    };
}

proptest! {
    /// A copy that is complete up to a position shows no key that was deleted before it.
    #[test]
    fn no_copy_shows_what_was_deleted_before_its_position(
        steps in prop::collection::vec(step(), 0..80),
    ) {
        let mut history: Vec<StoreItem> = Vec::new();
        let mut copies: Vec<_> = (0..COPIES).map(|_| StoreReplica::default()).collect();
        for step in steps {
            let now = at(history.len() as u64);
            match step {
                Step::Write { key, deleted } => {
                    let value = (!deleted).then_some("v");
                    history.push(item(&format!("key-{key}"), now.revision + 1, value));
                }
                Step::Watch { copy } if copies[copy].position().revision > 0 => {
                    let after = copies[copy].position();
                    let changes = history.iter().filter(|item| item.position > after);
                    let changes: Vec<_> = changes.cloned().collect();
                    copies[copy].apply(now, changes);
                }
                Step::Watch { copy } | Step::List { copy } => {
                    let mut newest: BTreeMap<String, StoreItem> = BTreeMap::new();
                    newest.extend(history.iter().map(|item| (item.key.clone(), item.clone())));
                    let listing = newest.into_values().filter(|item| item.value.is_some());
                    copies[copy].apply_listing(now, listing.collect());
                }
                Step::Pull { copy, from } => pull(&mut copies, copy, from),
                Step::Restart { copy } => copies[copy] = StoreReplica::default(),
            }
            for copy in &copies {
                let known = history.iter().take(copy.position().revision as usize);
                for event in known.filter(|event| event.value.is_none()) {
                    let shown = copy.get(&event.key).map(|item| item.position);
                    let is_gone = shown.is_none_or(|shown| shown > event.position);
                    prop_assert!(is_gone, "{} was deleted at {}", event.key, event.position);
                }
            }
        }
    }
}
