//! The copy of the platform's store never goes back, whatever comes in which order.

use bytes::Bytes;
use gypsumchute_fleet::{StoreCopy, StoreItem};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn item(key: &str, revision: u64, value: Option<&str>) -> StoreItem {
    let value = value.map(|value| Bytes::from(value.to_owned()));
    StoreItem { key: key.to_owned(), revision, value }
}

fn values(copy: &StoreCopy) -> Vec<String> {
    let items = copy.with_prefix("");
    items
        .map(|item| {
            let value = item.value.clone().unwrap_or_default();
            format!("{}@{}={}", item.key, item.revision, String::from_utf8_lossy(&value))
        })
        .collect()
}

#[test]
fn an_older_value_does_not_replace_a_newer_one() {
    let mut copy = StoreCopy::default();
    assert_eq!(copy.apply(7, vec![item("a", 7, Some("new"))]), ["a"]);
    assert!(copy.apply(9, vec![item("a", 5, Some("old"))]).is_empty());
    assert!(copy.apply(9, vec![item("a", 6, None)]).is_empty());
    assert_eq!((copy.revision(), values(&copy)), (9, vec!["a@7=new".to_owned()]));
}

#[test]
fn a_deleted_key_does_not_come_back_with_a_peer_that_lags() {
    let mut copy = StoreCopy::default();
    copy.apply(4, vec![item("a", 4, Some("x"))]);
    copy.apply(6, vec![item("a", 6, None)]);
    assert!(copy.apply(5, vec![item("a", 4, Some("x"))]).is_empty());
    assert!(copy.get("a").is_none());
}

#[test]
fn a_listing_deletes_what_it_lacks_but_not_what_is_newer() {
    let mut copy = StoreCopy::default();
    let known = vec![item("a", 3, Some("x")), item("b", 4, Some("y")), item("c", 9, Some("z"))];
    copy.apply(9, known);
    let changed = copy.replace(8, vec![item("a", 3, Some("x"))]);
    assert_eq!(changed, ["b"]);
    assert_eq!(values(&copy), ["a@3=x", "c@9=z"]);
}

#[test]
fn a_vm_that_lags_gets_what_changed_and_a_new_one_gets_all() {
    let mut copy = StoreCopy::default();
    copy.apply(4, vec![item("a", 3, Some("x")), item("b", 4, Some("y"))]);
    copy.apply(6, vec![item("a", 6, None)]);
    let news = copy.delta(4);
    assert_eq!((news.whole, news.items), (false, vec![item("a", 6, None)]));
    let all = copy.delta(0);
    assert_eq!((all.whole, all.items), (true, vec![item("b", 4, Some("y"))]));
}

#[test]
fn a_vm_that_lags_by_more_than_is_remembered_gets_all() {
    let mut copy = StoreCopy::default();
    copy.apply(1, vec![item("kept", 1, Some("x"))]);
    for revision in 2..6_000 {
        copy.apply(revision, vec![item(&format!("k{revision}"), revision, None)]);
    }
    assert!(copy.delta(2).whole);
    assert!(!copy.delta(5_990).whole);
}

/// The store's true history: each revision writes or deletes one of a few keys.
fn history() -> impl Strategy<Value = Vec<(u8, bool)>> {
    prop::collection::vec((0u8..5, any::<bool>()), 1..40)
}

proptest! {
    #[test]
    fn vms_that_hear_in_any_order_agree_once_they_know_all(
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
        let mut truth: BTreeMap<String, u64> = BTreeMap::new();
        for event in &events {
            match event.value {
                Some(_) => drop(truth.insert(event.key.clone(), event.revision)),
                None => drop(truth.remove(&event.key)),
            }
        }
        let mut copy = StoreCopy::default();
        for index in order {
            let event = index.get(&events).clone();
            let before: BTreeMap<_, _> =
                copy.with_prefix("").map(|item| (item.key.clone(), item.revision)).collect();
            copy.apply(0, vec![event]);
            for item in copy.with_prefix("") {
                let known = before.get(&item.key).copied().unwrap_or(0);
                prop_assert!(item.revision >= known, "{} went back", item.key);
            }
        }
        copy.apply(events.len() as u64, events);
        let known: BTreeMap<_, _> =
            copy.with_prefix("").map(|item| (item.key.clone(), item.revision)).collect();
        prop_assert_eq!(known, truth);
    }
}
