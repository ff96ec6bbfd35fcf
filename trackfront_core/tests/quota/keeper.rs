//! Who keeps a partition, and what comes of a keeper that is gone.

use std::time::Duration;

use super::world::{Keepers, Net, Run, STEP, Way, accounts};

fn run(boxes: usize) -> Run<Keepers> {
    let accounts = accounts(900_000.0, boxes / 2);
    let way = Keepers::new(&accounts, boxes);
    Run::new(accounts, Net::new(boxes, 3), way)
}

fn go_on(run: &mut Run<Keepers>, time: Duration) {
    for _ in 0..time.as_millis() / STEP.as_millis() {
        run.step();
    }
}

#[test]
fn one_box_keeps_each_partition_in_quiet_times() {
    let mut run = run(30);
    go_on(&mut run, Duration::from_secs(5));
    for partition in 0..8 {
        assert_eq!(run.way.keepers_of(partition), 1, "partition {partition}");
    }
}

#[test]
fn a_keeper_that_is_gone_is_replaced_within_a_second() {
    let mut run = run(30);
    go_on(&mut run, Duration::from_secs(5));
    let before = run.passed_part();
    assert!(before > 0.95, "{before}");
    for at in 0..6 {
        run.net.up[at] = false;
    }
    go_on(&mut run, Duration::from_secs(2));
    let (passed, due) = (run.passed_units, run.due_units);
    go_on(&mut run, Duration::from_secs(4));
    let after = (run.passed_units - passed) / (run.due_units - due);
    assert!(after > 0.95, "{after}");
    for at in 0..6 {
        run.net.up[at] = true;
        let now = run.now;
        run.way.restart(at, now);
    }
    go_on(&mut run, Duration::from_secs(20));
    for partition in 0..8 {
        assert_eq!(run.way.keepers_of(partition), 1, "partition {partition}");
    }
    assert!(run.worst_part() <= 1.0, "{}", run.worst_part());
}

#[test]
fn a_box_that_hears_nobody_has_an_even_part() {
    let mut run = run(30);
    go_on(&mut run, Duration::from_secs(5));
    for at in 0..30 {
        run.net.group[at] = at as u32;
    }
    go_on(&mut run, Duration::from_secs(3));
    let (passed, due) = (run.passed_units, run.due_units);
    go_on(&mut run, Duration::from_secs(6));
    let part = (run.passed_units - passed) / (run.due_units - due);
    assert!((0.2..0.95).contains(&part), "{part}");
    assert!(run.worst_part() <= 1.0, "{}", run.worst_part());
}
