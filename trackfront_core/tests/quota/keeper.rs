//! Who keeps a partition, and what comes of a keeper that is gone.

use std::time::Duration;

use trackfront_core::accounts::{AccountLimit, LimitUnit};
use trackfront_core::quota::AccountId;
use trackfront_core::units::Moment;

use super::world::{Keepers, Net, Run, STEP, TestAccount, Way, accounts};

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

/// Demand far beyond every limit, through all boxes.
fn flooded(boxes: usize) -> Run<Keepers> {
    let mut run = run(boxes);
    for index in 0..16 {
        let account = run.account(index);
        account.demand *= 8.0;
        account.entries = boxes;
    }
    run.move_clients();
    run
}

#[test]
fn two_halves_that_do_not_reach_each_other_stay_under_one_limit() {
    let mut run = flooded(30);
    go_on(&mut run, Duration::from_secs(10));
    for at in 0..30 {
        run.net.group[at] = at as u32 % 2;
    }
    go_on(&mut run, Duration::from_secs(20));
    assert!(run.worst_part() <= 1.0, "{}", run.worst_part());
    let part = run.passed_part();
    assert!(part > 0.9, "both halves use their part: {part}");
}

#[test]
fn boxes_that_are_cut_off_again_and_again_stay_under_the_limit() {
    for (ms, parts, burst_s) in [(800, 3, 1.0), (1_300, 3, 1.0), (1_300, 3, 0.0), (600, 2, 0.0)] {
        let mut run = flooded(30);
        for index in 0..16 {
            let account = run.account(index);
            account.limit.burst = account.limit.per_s * burst_s;
            let (id, limit) = (account.id, account.limit);
            run.way.set_limit(id, limit);
        }
        go_on(&mut run, Duration::from_secs(10));
        for round in 0..24_000 / ms {
            for at in 0..30 {
                run.net.group[at] = if round % 2 == 0 { at as u32 % parts } else { 0 };
            }
            go_on(&mut run, Duration::from_millis(ms));
        }
        let (worst, passed) = (run.worst_part(), run.passed_part());
        println!(
            "each {ms} ms, {parts} parts, burst {burst_s} s: largest window {worst:.3}, passed {passed:.3}"
        );
        assert!(worst <= 1.0, "{worst}");
        // Without a burst one counter would pass nothing.
        assert!(burst_s == 0.0 || passed > 0.9, "{passed}");
        assert!(run.passed_units > 0.0);
    }
}

/// Sends `rates` requests a second to each box and returns how many pass in `secs`.
fn passed(rates: &[u64], per_s: f64, secs: u64) -> u64 {
    let limit = AccountLimit { unit: LimitUnit::Requests, per_s, burst: per_s * 2.0 };
    let id = AccountId::of(&"c".into());
    let account = TestAccount { id, limit, demand: 0.0, entries: 1 };
    let mut way = Keepers::new(&[account], rates.len());
    let mut net = Net::new(rates.len(), 11);
    let mut passed = 0;
    for step in 0..secs * 100 {
        let now = Moment(STEP * step as u32);
        for (at, rate) in rates.iter().enumerate() {
            for _ in step * rate / 100..(step + 1) * rate / 100 {
                passed += u64::from(way.take(at, id, 1, now) == Some(true));
            }
        }
        passed += way.step(&mut net, now).len() as u64;
    }
    passed
}

#[test]
fn the_limit_holds_over_all_boxes_and_is_not_wasted() {
    for rates in [&[100, 100, 100][..], &[250, 0, 0], &[200, 50, 0]] {
        let (passed, allowed) = (passed(rates, 60.0, 60), 60 * 60);
        assert!(passed <= allowed + 120, "{rates:?}: {passed} of {allowed}");
        assert!(passed >= allowed * 95 / 100, "{rates:?}: {passed} of {allowed}");
    }
}
