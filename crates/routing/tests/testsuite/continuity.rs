//! Tests the next step of a generation for every kind of interruption.

use gypsumchute_routing::RouteKind;
use gypsumchute_routing::continuity::{
    GenerationState, Interruption, RecoveryAction, choose_recovery,
};

const NOT_RESUMABLE: GenerationState = GenerationState {
    kind: RouteKind::Generation { resumable: false },
    event_delivered: true,
    answer_began: true,
    remaining_tokens: 500,
    has_backup: false,
    supports_kv_copy: true,
    endpoints_used: 1,
    max_endpoints: 1,
    failed_endpoints: 0,
};
const RESUMABLE: GenerationState = GenerationState {
    kind: RouteKind::Generation { resumable: true },
    max_endpoints: 2,
    ..NOT_RESUMABLE
};

#[test]
fn each_interruption_has_a_next_step() {
    let backed_up = GenerationState { has_backup: true, ..NOT_RESUMABLE };
    let unanswered =
        GenerationState { event_delivered: false, answer_began: false, ..NOT_RESUMABLE };
    let unanswered_resumable =
        GenerationState { event_delivered: false, answer_began: false, ..RESUMABLE };
    let exhausted = GenerationState { endpoints_used: 2, ..RESUMABLE };
    let mut table = String::new();
    for (name, run) in [
        ("not resumable", NOT_RESUMABLE),
        ("not resumable, backup", backed_up),
        ("resumable", RESUMABLE),
        ("resumable, about to end", GenerationState { remaining_tokens: 20, ..RESUMABLE }),
        ("not resumable, about to end", GenerationState { remaining_tokens: 20, ..NOT_RESUMABLE }),
        ("resumable, endpoints used up", exhausted),
        ("no event yet", GenerationState { event_delivered: false, ..NOT_RESUMABLE }),
        ("no answer yet, backup", GenerationState { has_backup: true, ..unanswered }),
        (
            "no answer yet, resumable, backup",
            GenerationState { has_backup: true, ..unanswered_resumable },
        ),
        ("three endpoint failures", GenerationState { failed_endpoints: 3, ..backed_up }),
    ] {
        let next = [Interruption::Terminating, Interruption::Disconnected, Interruption::Stalled]
            .map(|loss| choose_recovery(loss, run));
        table += &format!("{name}: {}, {}, {}\n", next[0], next[1], next[2]);
    }
    insta::assert_snapshot!(table, @r"
    not resumable: move, give_up, stay
    not resumable, backup: from_backup, from_backup, from_backup
    resumable: move, anew, anew
    resumable, about to end: stay, anew, anew
    not resumable, about to end: move, give_up, stay
    resumable, endpoints used up: move, give_up, stay
    no event yet: stay, give_up, stay
    no answer yet, backup: from_backup, give_up, stay
    no answer yet, resumable, backup: from_backup, anew, anew
    three endpoint failures: give_up, give_up, give_up
    ");
}

#[test]
fn a_generation_that_is_not_resumable_is_never_restarted() {
    for loss in [Interruption::Terminating, Interruption::Disconnected, Interruption::Stalled] {
        for (delivered, max_endpoints) in [(true, 1), (false, 3)] {
            let run =
                GenerationState { event_delivered: delivered, max_endpoints, ..NOT_RESUMABLE };
            assert_ne!(choose_recovery(loss, run), RecoveryAction::Restart);
        }
    }
}
