//! Three ways to keep one limit over many boxes, on the same demand: even shares, shares that follow the
//! demand that boxes tell each other, and keepers that grant.

use std::collections::HashMap;
use std::time::Duration;

use trackfront_core::accounts::AccountLimit;
use trackfront_core::quota::AccountId;
use trackfront_core::units::Moment;

use super::world::{Keepers, Net, Run, TestAccount, Way, accounts};

const BOXES: usize = 90;

/// Units a second of all accounts together.
const USUAL: f64 = 1_400_000.0;

/// Each box has an even part of each limit.
struct Even {
    limits: HashMap<AccountId, AccountLimit>,
    levels: HashMap<(usize, AccountId), (f64, Moment)>,
    boxes: f64,
}

impl Way for Even {
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

    fn step(&mut self, _: &mut Net, _: Moment) -> Vec<(AccountId, u32)> {
        Vec::new()
    }

    fn restart(&mut self, _: usize, _: Moment) {}
}

/// Shares follow the demand that boxes tell each other each half second; a fifth is split evenly.
struct Following {
    limits: HashMap<AccountId, AccountLimit>,
    /// By box and account: what is left, the demand seen, and as of when.
    here: HashMap<(usize, AccountId), (f64, f64, Moment)>,
    /// What all boxes told last, by box and account.
    told: HashMap<(usize, AccountId), f64>,
    boxes: usize,
    told_at: Moment,
}

/// The share that is split evenly, and how fast the demand that was seen is forgotten.
const FLOOR: f64 = 0.2;
const HALF_LIFE_S: f64 = 2.0;

impl Following {
    fn share(&self, at: usize, account: AccountId, own: f64) -> f64 {
        let told = |other: usize| self.told.get(&(other, account)).copied().unwrap_or(0.0);
        let others: f64 = (0..self.boxes).filter(|other| *other != at).map(told).sum();
        let even = 1.0 / self.boxes as f64;
        let by_demand = if own + others > 0.0 { own / (own + others) } else { even };
        FLOOR * even + (1.0 - FLOOR) * by_demand
    }
}

impl Way for Following {
    fn take(&mut self, at: usize, account: AccountId, units: u32, now: Moment) -> Option<bool> {
        let limit = self.limits[&account];
        let (mut level, mut demand, since) =
            self.here.get(&(at, account)).copied().unwrap_or((f64::MAX, 0.0, now));
        let passed_s = now.since(since).as_secs_f64();
        demand = demand * 0.5f64.powf(passed_s / HALF_LIFE_S) + f64::from(units);
        let share = self.share(at, account, demand);
        level = (level + limit.per_s * share * passed_s).min(limit.burst * share);
        let passes = level > 0.0;
        if passes {
            level -= f64::from(units);
        }
        self.here.insert((at, account), (level, demand, now));
        Some(passes)
    }

    fn step(&mut self, _: &mut Net, now: Moment) -> Vec<(AccountId, u32)> {
        if now.since(self.told_at) >= Duration::from_millis(500) {
            self.told_at = now;
            let demand = self.here.iter().map(|(key, (_, demand, _))| (*key, *demand));
            self.told = demand.collect();
        }
        Vec::new()
    }

    fn restart(&mut self, _: usize, _: Moment) {}
}

fn limits(accounts: &[TestAccount]) -> HashMap<AccountId, AccountLimit> {
    accounts.iter().map(|account| (account.id, account.limit)).collect()
}

/// A usual time, then one account sends six times its usual, then its clients reach other boxes.
fn play<W: Way>(way: W) -> Run<W> {
    let accounts = accounts(USUAL, BOXES / 3);
    let mut run = Run::new(accounts, Net::new(BOXES, 7), way);
    for step in 0..2_400 {
        match step {
            800 => run.account(1).demand *= 6.0,
            1_600 => run.account(1).demand /= 6.0,
            2_000 => run.move_clients(),
            _ => {}
        }
        run.step();
    }
    run
}

#[test]
fn keepers_pass_what_one_counter_would_where_even_and_following_shares_refuse_it() {
    let all = accounts(USUAL, BOXES / 3);
    let even = Even { limits: limits(&all), levels: HashMap::new(), boxes: BOXES as f64 };
    let following = Following {
        limits: limits(&all),
        here: HashMap::new(),
        told: HashMap::new(),
        boxes: BOXES,
        told_at: Moment::default(),
    };
    let even = play(even);
    let following = play(following);
    let keepers = play(Keepers::new(&all, BOXES));
    for (name, part, worst) in [
        ("even shares", even.passed_part(), even.worst_part()),
        ("shares that follow demand", following.passed_part(), following.worst_part()),
        ("keepers", keepers.passed_part(), keepers.worst_part()),
    ] {
        println!("{name}: passed {part:.3} of what one counter would, largest window {worst:.3}");
    }
    assert!(keepers.worst_part() <= 1.0);
    assert!(keepers.passed_part() > 0.97, "{}", keepers.passed_part());
    assert!(even.passed_part() < 0.9, "{}", even.passed_part());
    assert!(following.passed_part() < keepers.passed_part(), "{}", following.passed_part());
}
