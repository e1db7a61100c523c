//! How a generation goes on, for every kind of loss.

use gypsumchute_routing::RouteKind;
use gypsumchute_routing::continuity::{Loss, Next, RunState, next_step};

const RUN: RunState = RunState {
    kind: RouteKind::Generation { resumable: false },
    delivered: true,
    left_tokens: 500,
    has_backup: false,
    copies_runs: true,
    endpoints_used: 1,
    max_endpoints: 1,
    breaks: 0,
};
const RESUMABLE: RunState =
    RunState { kind: RouteKind::Generation { resumable: true }, max_endpoints: 2, ..RUN };

#[test]
fn each_loss_has_its_next_step() {
    let backed_up = RunState { has_backup: true, ..RUN };
    let used_up = RunState { endpoints_used: 2, ..RESUMABLE };
    let mut table = String::new();
    for (name, run) in [
        ("once", RUN),
        ("once, backup", backed_up),
        ("resumable", RESUMABLE),
        ("resumable, about to end", RunState { left_tokens: 20, ..RESUMABLE }),
        ("once, about to end", RunState { left_tokens: 20, ..RUN }),
        ("resumable, used up", used_up),
        ("no event yet", RunState { delivered: false, ..RUN }),
        ("three breaks", RunState { breaks: 3, ..backed_up }),
    ] {
        let next = [Loss::Leaving, Loss::Broken, Loss::Silent].map(|loss| next_step(loss, run));
        table += &format!("{name}: {}, {}, {}\n", next[0], next[1], next[2]);
    }
    insta::assert_snapshot!(table, @r"
    once: move, give_up, stay
    once, backup: from_backup, from_backup, from_backup
    resumable: move, anew, anew
    resumable, about to end: stay, anew, anew
    once, about to end: move, give_up, stay
    resumable, used up: move, give_up, stay
    no event yet: stay, give_up, stay
    three breaks: give_up, give_up, give_up
    ");
}

#[test]
fn a_generation_that_may_run_once_never_begins_anew() {
    for loss in [Loss::Leaving, Loss::Broken, Loss::Silent] {
        for (delivered, max_endpoints) in [(true, 1), (false, 3)] {
            let run = RunState { delivered, max_endpoints, ..RUN };
            assert_ne!(next_step(loss, run), Next::Anew);
        }
    }
}
