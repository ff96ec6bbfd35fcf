use std::collections::VecDeque;
use std::time::Duration;

use trackfront_core::serving::overload::{ConnectionGate, GateChange, PROBE_INTERVAL};
use trackfront_core::units::{Moment, millis_to_duration, secs_to_duration};

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
        let lag = secs_to_duration(waiting / capacity);
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

/// A box whose process gets a fraction of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pauses {
    /// The process pauses for the rest of a period once its quota is spent.
    Quota,
    /// The process pauses at the same time of each period, whatever it did before.
    Stops,
}

/// The period of the quota, and how long the process runs in it.
const PERIOD_MS: f64 = 100.0;
const RUN_MS: f64 = 30.0;

/// The clock of a process that pauses, in milliseconds.
struct PausedClock {
    pauses: Pauses,
    now: f64,
    period: f64,
    used: f64,
}

impl PausedClock {
    /// Does work that takes this much processor time.
    fn work(&mut self, mut processor_ms: f64) {
        loop {
            let left = match self.pauses {
                Pauses::Quota => RUN_MS - self.used,
                Pauses::Stops => self.period + RUN_MS - self.now,
            };
            let step = processor_ms.min(left.max(0.0));
            self.now += step;
            self.used += step;
            processor_ms -= step;
            if processor_ms <= 0.0 {
                return;
            }
            self.idle_until(self.period + PERIOD_MS);
        }
    }

    /// Does nothing until then, and until the process runs.
    fn idle_until(&mut self, then: f64) {
        self.now = self.now.max(then);
        let period = (self.now / PERIOD_MS).floor() * PERIOD_MS;
        if period > self.period {
            (self.period, self.used) = (period, 0.0);
        }
        let is_paused = match self.pauses {
            Pauses::Quota => self.used >= RUN_MS,
            Pauses::Stops => self.now >= self.period + RUN_MS,
        };
        if is_paused {
            (self.period, self.used) = (self.period + PERIOD_MS, 0.0);
            self.now = self.period;
        }
    }
}

/// The part of a request's processor time that closing a connection unread takes.
const CLOSING_COST: f64 = 1.0 / 200.0;

/// The most connections that wait to be accepted, and that are accepted in one turn of the event loop.
const BACKLOG: usize = 1_024;
const ACCEPTED_PER_TURN: usize = 128;

/// How long callers wait, and the longest time that a request may take at this box, with the wait to be accepted.
const CALLER_TIME_MS: f64 = 1_000.0;
const LONGEST_WAIT_MS: f64 = 700.0;

/// For how long the box is played, and from when on it is counted.
const PLAYED_MS: f64 = 12_000.0;
const COUNTED_FROM_MS: f64 = 4_000.0;

/// What a box did while it was counted.
#[derive(Debug, Default)]
struct Counts {
    served_per_s: f64,
    late: usize,
    longest_ms: f64,
}

/// Plays the event loop of a box that pauses, can serve `capacity` requests a second and gets `offered`: each turn accepts
/// connections, answers those that it took, and wakes the probe if its time is over.
fn play_pauses(pauses: Pauses, capacity: f64, offered: f64) -> Counts {
    let mut gate = ConnectionGate::default();
    let mut clock = PausedClock { pauses, now: 0.0, period: 0.0, used: 0.0 };
    let request_ms = RUN_MS / PERIOD_MS * 1_000.0 / capacity;
    let moment = |ms: f64| Moment(secs_to_duration(1.0 + ms / 1_000.0));
    let (mut arrived, mut backlog, mut counts) = (0, VecDeque::new(), Counts::default());
    let mut probe_due = 0.0;
    while clock.now < PLAYED_MS {
        let arrival = |number: usize| number as f64 * 1_000.0 / offered;
        while arrival(arrived) <= clock.now {
            if backlog.len() < BACKLOG {
                backlog.push_back(arrival(arrived));
            }
            arrived += 1;
        }
        let turn = backlog.len().min(ACCEPTED_PER_TURN);
        let mut taken = Vec::new();
        for since in backlog.drain(..turn) {
            match gate.admit(moment(clock.now)) {
                true => taken.push(since),
                false => clock.work(request_ms * CLOSING_COST),
            }
        }
        for since in taken {
            clock.work(request_ms);
            let wait = clock.now - since;
            if clock.now < COUNTED_FROM_MS {
                continue;
            }
            counts.longest_ms = counts.longest_ms.max(wait);
            match wait <= CALLER_TIME_MS {
                true => counts.served_per_s += 1_000.0 / (PLAYED_MS - COUNTED_FROM_MS),
                false => counts.late += 1,
            }
        }
        if clock.now >= probe_due {
            let lag = millis_to_duration(clock.now - probe_due);
            gate.record_lag(lag, moment(clock.now));
            let interval = gate.probe_interval(moment(clock.now));
            probe_due = clock.now + interval.as_secs_f64() * 1_000.0;
        }
        if turn == 0 {
            clock.idle_until(probe_due.min(arrival(arrived)));
        }
    }
    counts
}

/// Guards against pauses that are taken for too much work. The machine gives the process a quota of each tenth of a second,
/// so all timers of the rest of it are late, also in a box that has nothing else to do.
#[test]
fn box_that_pauses_serves_what_it_can() {
    for pauses in [Pauses::Quota, Pauses::Stops] {
        for capacity in [150.0, 500.0, 1_500.0] {
            for times in [0.5, 0.8, 1.0, 1.2, 2.0, 5.0, 10.0, 20.0, 40.0] {
                let counts = play_pauses(pauses, capacity, capacity * times);
                let can_serve = match times <= 1.0 {
                    true => capacity * times,
                    false => capacity * (1.0 - times * CLOSING_COST) / (1.0 - CLOSING_COST),
                };
                let share = counts.served_per_s / can_serve;
                println!("{pauses:?}, {capacity}, {times} times: {share:.2}, {counts:?}");
                assert!(share >= 0.9, "{pauses:?}, {capacity}, {times}: {share:.2}, {counts:?}");
                assert_eq!(counts.late, 0, "{pauses:?}, {capacity}, {times}: {counts:?}");
                assert!(
                    counts.longest_ms <= LONGEST_WAIT_MS,
                    "{pauses:?}, {capacity}, {times}: {counts:?}"
                );
            }
        }
    }
}
