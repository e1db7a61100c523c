//! How often a daemon reads the store.

use gypsumchute_daemon::store_reader::ReadPace;
use gypsumchute_units::BootMs;

#[test]
fn a_change_after_a_quiet_time_is_read_at_once_and_a_stream_of_changes_in_few_calls() {
    let mut now = BootMs(10_000);
    let mut pace = ReadPace::new(now);
    let first: Vec<u64> = (0..4).map(|_| pace.wait_ms(now)).collect();
    assert_eq!(first, [0, 0, 0, 0]);
    let mut reads = 0;
    while now < BootMs(20_000) {
        let wait_ms = pace.wait_ms(now);
        assert!(wait_ms <= 400);
        now = now + wait_ms.max(20);
        reads += 1;
    }
    assert!((20..=30).contains(&reads), "{reads} reads in 10 s");
    assert_eq!(pace.wait_ms(now + 2_000), 0);
}
