use std::time::Duration;

use trackfront_core::serving::overload::{ConnectionGate, GateChange, PROBE_INTERVAL};

use super::support::at;

/// Plays a box that serves `capacity` connections a second and gets `offered`, for some seconds. Returns how many it took,
/// and the longest time for which ready work waited in the second half.
fn play(
    gate: &mut ConnectionGate,
    from_ms: u64,
    capacity: f64,
    offered: f64,
    seconds: u64,
) -> (f64, Duration) {
    let (mut taken, mut waiting, mut due, mut longest) = (0.0, 0.0_f64, 0.0, Duration::ZERO);
    for ms in 0..seconds * 1_000 {
        let now = at(from_ms + ms);
        due += offered / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            if gate.admit(now) {
                taken += 1.0;
                waiting += 1.0;
            }
        }
        waiting = (waiting - capacity / 1_000.0).max(0.0);
        let lag = Duration::from_secs_f64(waiting / capacity);
        if u128::from(ms) % PROBE_INTERVAL.as_millis() == 0 {
            gate.record_lag(lag, now);
        }
        if ms >= seconds * 500 {
            longest = longest.max(lag);
        }
    }
    (taken / seconds as f64, longest)
}

#[test]
fn box_takes_about_what_it_can_serve() {
    for offered in [1_000.0, 3_000.0, 20_000.0] {
        let mut gate = ConnectionGate::default();
        let (taken, longest) = play(&mut gate, 1_000, 500.0, offered, 8);
        println!("{offered} offered a second: {taken:.0} taken, work waits {longest:?} at most");
        assert!(taken >= 350.0, "{offered}: {taken}");
        assert!(longest <= Duration::from_millis(150), "{offered}: {longest:?}");
    }
}

#[test]
fn all_connections_are_taken_below_the_capacity_and_after_a_flood() {
    let mut gate = ConnectionGate::default();
    let (taken, _) = play(&mut gate, 1_000, 500.0, 300.0, 4);
    assert!(taken >= 299.0, "{taken}");
    play(&mut gate, 5_000, 500.0, 5_000.0, 4);
    play(&mut gate, 9_000, 500.0, 300.0, 2);
    let (taken, _) = play(&mut gate, 11_000, 500.0, 300.0, 4);
    assert!(taken >= 299.0, "{taken}");
}

/// Guards against connections that are refused because the process stood still once, or because the machine is slow while
/// few clients come.
#[test]
fn pauses_and_slow_machines_refuse_nobody() {
    let mut gate = ConnectionGate::default();
    for round in 0..100 {
        let now = at(1_000 + round * 100);
        assert_eq!(gate.record_lag(Duration::from_secs(2), now), None);
        gate.record_lag(Duration::ZERO, now + PROBE_INTERVAL);
        assert!((0..20).all(|_| gate.admit(now + PROBE_INTERVAL)));
    }
    let mut gate = ConnectionGate::default();
    for ms in 0..10_000 {
        let now = at(1_000 + ms);
        if ms % 20 == 0 {
            gate.record_lag(Duration::from_millis(60), now);
        }
        assert!(ms % 25 != 0 || gate.admit(now), "40 a second are always taken");
    }
}

#[test]
fn begin_and_end_of_the_bound_are_told() {
    let mut gate = ConnectionGate::default();
    let mut changes = Vec::new();
    for probe in 0..2_000 {
        let now = at(1_000 + probe * 20);
        (0..20).for_each(|_| _ = gate.admit(now));
        let lag = Duration::from_millis(if probe < 20 { 50 } else { 0 });
        changes.extend(gate.record_lag(lag, now));
    }
    assert!(matches!(changes[..], [GateChange::Bounded(_), GateChange::Open]), "{changes:?}");
}
