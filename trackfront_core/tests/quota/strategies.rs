//! Three strategies to enforce one limit over many boxes, compared with the same demand: even shares, shares in
//! proportion to the demand that boxes report to each other, and coordinators that grant units.
//!
//! Guards against changes to the third strategy that make it refuse what a central counter would let pass.

use std::collections::HashMap;
use std::time::Duration;

use trackfront_core::accounts::AccountLimit;
use trackfront_core::quota::AccountId;
use trackfront_core::units::Moment;

use super::simulation::{
    CoordinatedQuotas, LimitStrategy, Network, Simulation, TestAccount, accounts,
};

const BOXES: usize = 90;

/// The usual demand of all accounts together, in units per second.
const USUAL_DEMAND: f64 = 1_400_000.0;

/// Each box has the same share of each limit.
struct EvenShares {
    limits: HashMap<AccountId, AccountLimit>,
    levels: HashMap<(usize, AccountId), (f64, Moment)>,
    boxes: f64,
}

impl LimitStrategy for EvenShares {
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool> {
        let limit = self.limits[&account];
        let (per_s, burst) = (limit.per_s / self.boxes, limit.burst / self.boxes);
        let (level, since) = self.levels.entry((at, account)).or_insert((burst, now));
        *level = (*level + per_s * now.since(*since).as_secs_f64()).min(burst);
        *since = now;
        let passes = *level >= f64::from(units).min(burst);
        if passes {
            *level -= f64::from(units);
        }
        Some(passes)
    }

    fn step(&mut self, _: &mut Network, _: Moment) -> Vec<(AccountId, u32)> {
        Vec::new()
    }

    fn restart(&mut self, _: usize, _: Moment) {}
}

/// The interval at which boxes report their demand to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The fraction of a limit that is shared evenly, whatever the demand.
const EVEN_FRACTION: f64 = 0.2;

/// The half-life of the demand that a box has seen, in seconds.
const HALF_LIFE_S: f64 = 2.0;

/// Each box has a share of each limit in proportion to its demand.
struct DemandShares {
    limits: HashMap<AccountId, AccountLimit>,
    /// The level, the demand and the time of its last update, by box and account.
    buckets: HashMap<(usize, AccountId), (f64, f64, Moment)>,
    /// The last reported demand, by box and account.
    reported: HashMap<(usize, AccountId), f64>,
    boxes: usize,
    reported_at: Moment,
}

impl DemandShares {
    fn share(&self, at: usize, account: AccountId, own: f64) -> f64 {
        let reported = |other: usize| self.reported.get(&(other, account)).copied().unwrap_or(0.0);
        let others: f64 = (0..self.boxes).filter(|other| *other != at).map(reported).sum();
        let even = 1.0 / self.boxes as f64;
        let by_demand = if own + others > 0.0 { own / (own + others) } else { even };
        EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * by_demand
    }
}

impl LimitStrategy for DemandShares {
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool> {
        let limit = self.limits[&account];
        let (mut level, mut demand, since) =
            self.buckets.get(&(at, account)).copied().unwrap_or((f64::MAX, 0.0, now));
        let passed_s = now.since(since).as_secs_f64();
        demand = demand * 0.5f64.powf(passed_s / HALF_LIFE_S) + f64::from(units);
        let share = self.share(at, account, demand);
        level = (level + limit.per_s * share * passed_s).min(limit.burst * share);
        let passes = level > 0.0;
        if passes {
            level -= f64::from(units);
        }
        self.buckets.insert((at, account), (level, demand, now));
        Some(passes)
    }

    fn step(&mut self, _: &mut Network, now: Moment) -> Vec<(AccountId, u32)> {
        if now.since(self.reported_at) >= REPORT_INTERVAL {
            self.reported_at = now;
            let demand = self.buckets.iter().map(|(key, (_, demand, _))| (*key, *demand));
            self.reported = demand.collect();
        }
        Vec::new()
    }

    fn restart(&mut self, _: usize, _: Moment) {}
}

fn limits(accounts: &[TestAccount]) -> HashMap<AccountId, AccountLimit> {
    accounts.iter().map(|account| (account.id, account.limit)).collect()
}

/// Runs a simulation with the usual demand. Then one account sends six times as much for a while, and later all clients
/// connect to other boxes.
fn simulate<W: LimitStrategy>(strategy: W) -> Simulation<W> {
    let accounts = accounts(USUAL_DEMAND, BOXES / 3);
    let mut run = Simulation::new(accounts, Network::new(BOXES, 7), strategy);
    for step in 0..2_400 {
        match step {
            800 => run.account(1).demand *= 6.0,
            1_600 => run.account(1).demand /= 6.0,
            2_000 => run.reconnect_clients(),
            _ => {}
        }
        run.step();
    }
    run
}

#[test]
fn coordinators_let_pass_what_a_central_counter_would_and_shares_refuse() {
    let all = accounts(USUAL_DEMAND, BOXES / 3);
    let even_shares =
        EvenShares { limits: limits(&all), levels: HashMap::new(), boxes: BOXES as f64 };
    let demand_shares = DemandShares {
        limits: limits(&all),
        buckets: HashMap::new(),
        reported: HashMap::new(),
        boxes: BOXES,
        reported_at: Moment::default(),
    };
    let even = simulate(even_shares);
    let by_demand = simulate(demand_shares);
    let coordinated = simulate(CoordinatedQuotas::new(&all, BOXES));
    for (name, passed, max_window) in [
        ("even shares", even.passed_fraction(), even.max_window_fraction()),
        ("shares by demand", by_demand.passed_fraction(), by_demand.max_window_fraction()),
        ("coordinators", coordinated.passed_fraction(), coordinated.max_window_fraction()),
    ] {
        println!(
            "{name}: passed {passed:.3} of what a central counter would, largest window {max_window:.3}"
        );
    }
    assert!(coordinated.max_window_fraction() <= 1.0);
    assert!(coordinated.passed_fraction() > 0.97, "{}", coordinated.passed_fraction());
    assert!(even.passed_fraction() < 0.9, "{}", even.passed_fraction());
    assert!(
        by_demand.passed_fraction() < coordinated.passed_fraction(),
        "{}",
        by_demand.passed_fraction()
    );
}
